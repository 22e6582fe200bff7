//! Settings of the membership protocol.

use std::net::SocketAddrV4;
use thiserror::Error;

/// Upper bound of intervals, in seconds.
const MAX_INTERVAL: f64 = 86_400.0;
/// Range of the maximum datagram size that can be set, in bytes.
const MIN_DATAGRAM_BYTES: usize = 512;
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// Settings of the protocol. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Approximate number of limiters in the fleet.
    pub expected_members: u32,
    /// Addresses of limiters that are likely to be up, to which this limiter announces itself.
    pub seeds: Vec<SocketAddrV4>,
    /// Interval between probes, each of one member.
    pub probe_interval: f64,
    /// Time to wait for the direct reply to a probe, before indirect probes are sent.
    pub probe_timeout: f64,
    /// Time that a suspect has to refute the suspicion before it is considered down.
    pub suspicion_timeout: f64,
    /// Interval between rounds of gossip, each to three other members.
    pub gossip_interval: f64,
    /// Interval between announcements to members that are down, so that two partitions rejoin.
    pub rejoin_interval: f64,
    /// Maximum size of a datagram in bytes.
    pub max_datagram_bytes: usize,
}

/// A setting that is out of range, with its key in the operators' settings file and the allowed values.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// An interval is out of range.
    #[error("fleet.members.{key}: {seconds}; give seconds over 0 and under a day")]
    Interval {
        /// Key of the setting.
        key: &'static str,
        /// The rejected value.
        seconds: f64,
    },
    /// The probe timeout leaves no time for indirect probes.
    #[error(
        "fleet.members.answer: {timeout}; give at most half of fleet.members.probe ({interval}) for indirect probes"
    )]
    ProbeTimeout {
        /// The probe timeout, in seconds.
        timeout: f64,
        /// The probe interval, in seconds.
        interval: f64,
    },
    /// The maximum size of datagrams is out of range.
    #[error(
        "fleet.members.datagram: {bytes}; give {MIN_DATAGRAM_BYTES} to {MAX_DATAGRAM_BYTES} bytes"
    )]
    DatagramBytes {
        /// The rejected value.
        bytes: usize,
    },
}

impl Settings {
    /// Checks that all settings are in range.
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
