//! Audits of the counter: what was added to a name is compared with what the counter holds.

use crate::fleet::event::FleetEvent;
use crate::fleet::health_checks::HEALTH_CHECK_TIMEOUT;
use crate::fleet::work::Work;
use crate::fleet::Fleet;
use crate::hub::Hub;
use crate::message::encode_count;
use crate::message::take_counted;
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

/// Names that are read from the counter at once.
pub(super) const MAX_NAMES_PER_READ: usize = 256;

/// Reads names by adding nothing to them; one that is gone comes to be for a millisecond.
pub(super) async fn read_totals(
    at: SocketAddr,
    names: &[u64],
    tell: &mpsc::UnboundedSender<FleetEvent>,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(at).await?;
    let mut calls = BytesMut::new();
    names
        .iter()
        .for_each(|n| calls.extend_from_slice(&encode_count(*n, 0.0, 0.001)));
    stream.write_all(&calls).await?;
    let mut answers = BytesMut::new();
    for name in names {
        let counted = loop {
            match take_counted(&mut answers) {
                Ok(Some(counted)) => break counted,
                Ok(None) => {}
                Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
            }
            if stream.read_buf(&mut answers).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        };
        if let CounterReply::Total(total) = counted {
            let _ = tell.send(FleetEvent::Total { name: *name, total });
        }
    }
    Ok(())
}

impl Fleet {
    /// What was added and is quiet goes to the auditor; what an auditor holds and is quiet is read.
    pub(super) fn exchange_usage(&mut self, hub: &Rc<Hub>, now: f64) {
        self.next_audit = now + self.plan.audit.quiet_period / 4.0;
        let mut by: BTreeMap<Slot, Vec<audit::Usage>> = BTreeMap::new();
        for u in self.tally.take_due(now, &self.plan.audit) {
            if let Some(slot) = Fleet::shard_of(self.audit_slots, u.name) {
                by.entry(slot).or_default().push(u);
            }
        }
        for (slot, uses) in by {
            let names: Vec<u64> = uses.iter().map(|u| u.name).collect();
            let message = audit::Message::Usages {
                run: self.identity.run,
                usages: uses,
            };
            if !self.send_to_owner(hub, slot, Work::Audit { slot, message }, now) {
                self.tally.mark_unreported(names.into_iter());
            }
        }
        let due = self.auditor.take_due(now, &self.plan.audit);
        let Some(counter) = hub.counter.address().filter(|_| !due.is_empty()) else {
            return;
        };
        let tell = self.events.clone();
        tokio::task::spawn_local(async move {
            for names in due.chunks(MAX_NAMES_PER_READ) {
                let read = read_totals(counter, names, &tell);
                if !matches!(
                    tokio::time::timeout(HEALTH_CHECK_TIMEOUT, read).await,
                    Ok(Ok(()))
                ) {
                    return;
                }
            }
        });
    }

    pub(super) fn judge_total(&mut self, name: u64, total: f64, now: f64) {
        let Some(slot) = Fleet::shard_of(self.audit_slots, name)
            .filter(|s| self.client.token(*s, now).is_some())
        else {
            return;
        };
        self.client.record_progress(slot, now);
        let Some(verdict) = self.auditor.compare(name, total, &self.plan.audit) else {
            return;
        };
        let (n, what, value) = match verdict {
            audit::AuditResult::Agrees => (0, "agrees", 0.0),
            audit::AuditResult::Lost(units) => (1, "lost", units),
            audit::AuditResult::Surplus(units) => (2, "surplus", units),
        };
        self.audit_results[n] += 1;
        if n > 0 {
            ::log::warn!(
                "fleet: audit of {name:016x}: the counter holds {total}, {what} {value:.3} units"
            );
        }
        self.write_history(
            json!({"line": "counted", "t": now, "what": format!("audit {what}"), "value": value}),
        );
    }
}
