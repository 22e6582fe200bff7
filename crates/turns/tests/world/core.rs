//! The core: notices stores by their heartbeats and brings the list to everybody, sooner or later.

use std::net::{Ipv4Addr, SocketAddr};

use dunespur_turns::roster::Store;

use super::{Event, World};

const HEARTBEAT_MS: u64 = 200;
/// A store that is not heard of for this long is absent.
const LEASE_MS: u64 = 1_500;

#[derive(Debug, Default)]
pub struct Core {
    pub list: Vec<Store>,
    pub version: u64,
    heard_at_ms: Vec<(String, u64)>,
    /// The start of each store's process that last got the list.
    told: Vec<(String, u64)>,
}

impl World {
    pub(super) fn heartbeats(&mut self) {
        self.after(HEARTBEAT_MS, Event::Heartbeats);
        let before = self.core.list.clone();
        for number in 0..self.machines.len() {
            if self.machines[number].is_reachable() {
                self.hear(number);
            }
        }
        self.miss_the_silent();
        if before != self.core.list {
            self.publish();
        }
        self.tell_the_new();
    }

    /// Changes one entry of the list and tells everybody.
    pub(super) fn change_entry(&mut self, name: &str, change: impl Fn(&mut Store)) {
        if let Some(entry) = self.core.list.iter_mut().find(|entry| entry.name == name) {
            change(entry);
        }
        self.publish();
    }

    /// Forgets a store that was replaced for good.
    pub(super) fn forget_entry(&mut self, name: &str) {
        self.core.list.retain(|entry| entry.name != name);
        self.publish();
    }

    fn hear(&mut self, number: usize) {
        let machine = &self.machines[number];
        let whole = machine.node.as_ref().is_some_and(|node| node.is_whole());
        let (name, now_ms) = (machine.name.clone(), self.now_ms);
        match self.core.heard_at_ms.iter_mut().find(|(known, _)| *known == name) {
            Some((_, at_ms)) => *at_ms = now_ms,
            None => self.core.heard_at_ms.push((name.clone(), now_ms)),
        }
        match self.core.list.iter_mut().find(|entry| entry.name == name) {
            Some(entry) => {
                entry.present = true;
                entry.whole = whole;
                entry.disk = machine.disk.number;
            }
            None => self.core.list.push(Store {
                name,
                zone: machine.zone.clone(),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_380 + number as u16)),
                disk: machine.disk.number,
                whole,
                present: true,
                retiring: false,
                retired: false,
            }),
        }
    }

    fn miss_the_silent(&mut self) {
        let now_ms = self.now_ms;
        for entry in &mut self.core.list {
            let heard = self.core.heard_at_ms.iter().find(|(name, _)| *name == entry.name);
            let heard_at_ms = heard.map_or(0, |(_, at_ms)| *at_ms);
            if now_ms.saturating_sub(heard_at_ms) > LEASE_MS {
                entry.present = false;
                entry.whole = false;
            }
        }
    }

    fn publish(&mut self) {
        self.core.version += 1;
        for number in 0..self.machines.len() {
            if self.machines[number].is_reachable() {
                self.tell(number, 200);
            }
        }
        for gateway in 0..self.gateways.len() {
            let lag_ms = self.rng.u64(0..self.gateways[gateway].most_lag_ms);
            let (version, list) = (self.core.version, self.core.list.clone());
            self.after(lag_ms, Event::ListToGateway { gateway, version, list });
        }
    }

    /// Stores that have just started, or were away, hear the list though it has not changed.
    fn tell_the_new(&mut self) {
        for number in 0..self.machines.len() {
            let machine = &self.machines[number];
            if !machine.is_reachable() {
                self.core.told.retain(|(name, _)| *name != self.machines[number].name);
                continue;
            }
            let told = (machine.name.clone(), machine.life);
            if !self.core.told.contains(&told) {
                self.core.told.retain(|(name, _)| *name != told.0);
                self.core.told.push(told);
                self.tell(number, 50);
            }
        }
    }

    fn tell(&mut self, number: usize, most_lag_ms: u64) {
        let lag_ms = self.rng.u64(0..most_lag_ms);
        let event = Event::ListToMachine {
            machine: number,
            life: self.machines[number].life,
            list: self.core.list.clone(),
        };
        self.after(lag_ms, event);
    }

    pub(super) fn list_to_gateway(&mut self, gateway: usize, version: u64, list: Vec<Store>) {
        let gateway = &mut self.gateways[gateway];
        if version > gateway.version {
            gateway.version = version;
            gateway.list = list;
        }
    }
}
