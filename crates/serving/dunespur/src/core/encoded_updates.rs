//! Updates as encoded for watches. Many watches wait for the same change, and each answer would otherwise take memory of
//! its own until its caller has read it.

use super::replica::{Replica, UpdateKey};
use crate::messages::{encode_reply, Reply, WatchRequest};
use bytes::Bytes;

/// The newest encoded update, which all watches with the same key share.
#[derive(Default)]
pub struct EncodedUpdates {
    newest: Option<(UpdateKey, Bytes)>,
}

impl EncodedUpdates {
    /// The encoded answer to a watch.
    pub fn answer(&mut self, replica: &Replica, request: &WatchRequest) -> Bytes {
        let key = replica.update_key(request);
        if let Some((_, bytes)) = self.newest.as_ref().filter(|(newest, _)| *newest == key) {
            return bytes.clone();
        }
        let bytes = encode_reply(&Reply::StateUpdate(replica.updates_for(request)));
        self.newest = Some((key, bytes.clone()));
        bytes
    }

    /// Frees the newest update.
    pub fn clear(&mut self) {
        self.newest = None;
    }
}
