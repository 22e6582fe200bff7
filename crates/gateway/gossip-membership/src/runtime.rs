//! Runtime that collects the library's datagrams, timers and notifications.

use crate::member::Member;
use crate::output::Output;
use crate::timers::Timers;
use foca::{Notification, Runtime, Timer};
use std::time::Duration;

/// Collects the datagrams, timers and notifications that the library emits while it handles one event.
pub struct EventRuntime<'a> {
    pub now: f64,
    /// Factor by which timers that judge other members are prolonged.
    pub health_multiplier: f64,
    pub timers: &'a mut Timers,
    pub outputs: &'a mut Vec<Output>,
    pub changes: MemberChanges,
}

/// Members that the library reports as up or down.
#[derive(Default)]
pub struct MemberChanges {
    pub up: Vec<Member>,
    pub down: Vec<Member>,
}

impl Runtime<Member> for EventRuntime<'_> {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => self.changes.up.push(member.clone()),
            Notification::MemberDown(member) => self.changes.down.push(member.clone()),
            Notification::Rename(old, new) => {
                // A process that only renewed its identity was not down.
                if (&old.name, old.instance) != (&new.name, new.instance) {
                    self.changes.down.push(old.clone());
                }
                self.changes.up.push(new.clone());
            }
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.outputs.push(Output::Datagram {
            to: to.address,
            bytes: data.to_vec(),
        });
    }

    fn submit_after(&mut self, timer: Timer<Member>, after: Duration) {
        let judges_others = matches!(
            timer,
            Timer::SendIndirectProbe { .. } | Timer::ChangeSuspectToDown { .. }
        );
        let multiplier = if judges_others {
            self.health_multiplier
        } else {
            1.0
        };
        let due_at = self.now + after.as_secs_f64() * multiplier;
        self.timers.add(due_at, timer);
    }
}
