//! Audits of the counter: compares the units added to a name with the total that the counter holds.

use crate::event_loop::EventLoop;
use crate::fleet::event::FleetEvent;
use crate::fleet::health_checks::HEALTH_CHECK_TIMEOUT;
use crate::fleet::work::Work;
use crate::fleet::FleetMember;
use crate::protocol::decode_counter_reply;
use crate::protocol::encode_counter_call;
use bytes::BytesMut;
use dunespur_decisions::types::CounterReply;
use dunespur_singleton_roles::audit;
use dunespur_singleton_roles::Slot;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Names read from the counter over one connection.
pub(super) const MAX_NAMES_PER_READ: usize = 256;

/// Reads the totals of names by adding zero to each. A name that no longer exists is created for one millisecond.
pub(super) async fn read_totals(
    counter: SocketAddr,
    names: &[u64],
    events: &mpsc::UnboundedSender<FleetEvent>,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(counter).await?;
    let mut calls = BytesMut::new();
    names
        .iter()
        .for_each(|name| calls.extend_from_slice(&encode_counter_call(*name, 0.0, 0.001)));
    stream.write_all(&calls).await?;
    let mut replies = BytesMut::new();
    for name in names {
        let reply = loop {
            match decode_counter_reply(&mut replies) {
                Ok(Some(reply)) => break reply,
                Ok(None) => {}
                Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
            }
            if stream.read_buf(&mut replies).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        };
        if let CounterReply::Total(total) = reply {
            let _ = events.send(FleetEvent::AuditTotal { name: *name, total });
        }
    }
    Ok(())
}

impl FleetMember {
    /// Sends the usage of names without recent calls to their auditors, and reads the totals of such names that this
    /// process audits.
    pub(super) fn exchange_usage(&mut self, event_loop: &Rc<EventLoop>, now: f64) {
        self.next_audit = now + self.config.audit.quiet_period / 4.0;
        let mut by_slot: BTreeMap<Slot, Vec<audit::Usage>> = BTreeMap::new();
        for usage in self.usage_tally.take_due(now, &self.config.audit) {
            if let Some(slot) = FleetMember::shard_of(self.audit_slots, usage.name) {
                by_slot.entry(slot).or_default().push(usage);
            }
        }
        for (slot, usages) in by_slot {
            let names: Vec<u64> = usages.iter().map(|usage| usage.name).collect();
            let message = audit::Message::Usages {
                run: self.identity.run,
                usages,
            };
            if !self.send_to_owner(event_loop, slot, Work::Audit { slot, message }, now) {
                self.usage_tally.mark_unreported(names.into_iter());
            }
        }
        let names_to_read = self.auditor.take_due(now, &self.config.audit);
        let Some(counter) = event_loop
            .counter_client
            .address()
            .filter(|_| !names_to_read.is_empty())
        else {
            return;
        };
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            for names in names_to_read.chunks(MAX_NAMES_PER_READ) {
                let read = read_totals(counter, names, &events);
                if !matches!(
                    tokio::time::timeout(HEALTH_CHECK_TIMEOUT, read).await,
                    Ok(Ok(()))
                ) {
                    return;
                }
            }
        });
    }

    /// Compares a total of the counter with the reported usage, if this process still owns the audit of the name.
    pub(super) fn audit_total(&mut self, name: u64, total: f64, now: f64) {
        let Some(slot) = FleetMember::shard_of(self.audit_slots, name)
            .filter(|slot| self.role_client.token(*slot, now).is_some())
        else {
            return;
        };
        self.role_client.record_progress(slot, now);
        let Some(verdict) = self.auditor.compare(name, total, &self.config.audit) else {
            return;
        };
        let (result_index, label, value) = match verdict {
            audit::AuditResult::Agrees => (0, "agrees", 0.0),
            audit::AuditResult::Lost(units) => (1, "lost", units),
            audit::AuditResult::Surplus(units) => (2, "surplus", units),
        };
        self.audit_results[result_index] += 1;
        if result_index > 0 {
            ::log::warn!(
                "fleet: audit of {name:016x}: the counter holds {total} units, {label} {value:.3}"
            );
        }
        self.write_history(
            json!({"line": "counted", "t": now, "what": format!("audit {label}"), "value": value}),
        );
    }
}
