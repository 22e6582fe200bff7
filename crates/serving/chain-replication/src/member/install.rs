//! Installs a decided view, and announces it to other members.

use super::{Member, Output};
use crate::agreement::DecidedView;
use crate::durable::Write;
use crate::identity::Peer;
use crate::message::Message;
use crate::view::View;

impl Member {
    /// Installs a decided view that is later than the present one, whichever member sent it.
    pub(super) fn on_decided(&mut self, decided: DecidedView) {
        if decided.number() > self.view_number() && decided.view.is_sound() {
            self.install_view(decided);
        }
    }

    /// Installs a view; every change of the view goes through this function.
    pub(super) fn install_view(&mut self, decided: DecidedView) {
        self.write_queue.write(Write::InstallView {
            decided: decided.clone(),
        });
        let view = decided.view.clone();
        let previous = self.decided.replace(decided).map(|previous| previous.view);
        self.installed_at = self.now;
        self.end_agreement();
        self.failure_detector
            .install_view(previous.as_ref(), &view, &self.me.id, self.now);
        self.joiners
            .retain(|joiner| !view.has_member(&joiner.peer.id));
        self.seek_membership(Vec::new());
        self.notify_view();
        self.enter_chain();
        self.redirect_requests();
        self.ping_all();
    }

    /// Sends pending submissions and reads again, to the head of the new view.
    fn redirect_requests(&mut self) {
        self.deferred.reads.clear();
        if !self.is_head() {
            self.deferred.submissions.clear();
            self.send_submissions();
        }
        self.send_read_request();
    }

    /// Sends a decided view to its members, and to members of the previous view that it no longer has.
    pub(super) fn announce_decided(&mut self, decided: &DecidedView, previous: Option<&View>) {
        let departed = previous
            .into_iter()
            .flat_map(|previous| previous.members.iter());
        let departed = departed.filter(|member| !decided.view.has_member(&member.id));
        let receivers = decided.view.members.iter().chain(departed);
        for to in receivers.filter(|member| member.id != self.me.id) {
            self.outputs.push(Output::Send {
                to: to.clone(),
                message: Message::Decided {
                    decided: decided.clone(),
                },
            });
        }
    }

    /// Sends the present view to a process that doesn't know it.
    pub(super) fn send_view(&mut self, to: &Peer) {
        if let Some(decided) = self.decided.clone() {
            self.outputs.push(Output::Send {
                to: to.clone(),
                message: Message::Decided { decided },
            });
        }
    }
}
