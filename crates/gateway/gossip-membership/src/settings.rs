//! Settings of the membership protocol.

use std::net::SocketAddrV4;
use thiserror::Error;

/// Longest interval, in seconds.
const MAX_INTERVAL: f64 = 86_400.0;
/// Sizes of datagrams that can be set, in bytes.
const MIN_DATAGRAM_BYTES: usize = 512;
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// Settings of the protocol; times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many limiters there are about.
    pub expected_members: u32,
    /// Where to announce itself: any limiters that are likely to be up.
    pub seeds: Vec<SocketAddrV4>,
    /// One member is probed in each of these intervals.
    pub probe_interval: f64,
    /// A direct reply to a probe is awaited this long.
    pub probe_timeout: f64,
    /// A suspect has this long to refute the suspicion.
    pub suspicion_timeout: f64,
    /// Updates go to three other members this often.
    pub gossip_interval: f64,
    /// Members that are down are sent an announcement this often, so that two partitions find each other again.
    pub rejoin_interval: f64,
    /// Largest datagram, in bytes.
    pub max_datagram_bytes: usize,
}

/// What is out of range, by its key in the operators' file, with the remedy.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// An interval.
    #[error("fleet.members.{key}: {seconds}; give seconds over 0 and under a day")]
    Interval {
        /// Its key.
        key: &'static str,
        /// What it is set to.
        seconds: f64,
    },
    /// The probe's timeout leaves no time for indirect probes.
    #[error(
        "fleet.members.answer: {timeout} leaves no time for asking through others in a probe of {interval}"
    )]
    ProbeTimeout {
        /// The timeout, in seconds.
        timeout: f64,
        /// The probe interval, in seconds.
        interval: f64,
    },
    /// The size of datagrams.
    #[error(
        "fleet.members.datagram: {bytes}; give {MIN_DATAGRAM_BYTES} to {MAX_DATAGRAM_BYTES} bytes"
    )]
    DatagramBytes {
        /// What it is set to.
        bytes: usize,
    },
}

impl Settings {
    /// Checks what an operator has set.
    ///
    /// # Errors
    /// The first setting that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let intervals = [
            ("probe", self.probe_interval),
            ("answer", self.probe_timeout),
            ("suspect", self.suspicion_timeout),
            ("gossip", self.gossip_interval),
            ("again", self.rejoin_interval),
        ];
        for (key, seconds) in intervals {
            if !(seconds > 0.0 && seconds < MAX_INTERVAL) {
                return Err(SettingsError::Interval { key, seconds });
            }
        }
        if self.probe_timeout * 2.0 > self.probe_interval {
            return Err(SettingsError::ProbeTimeout {
                timeout: self.probe_timeout,
                interval: self.probe_interval,
            });
        }
        if !(MIN_DATAGRAM_BYTES..=MAX_DATAGRAM_BYTES).contains(&self.max_datagram_bytes) {
            return Err(SettingsError::DatagramBytes {
                bytes: self.max_datagram_bytes,
            });
        }
        Ok(())
    }
}
