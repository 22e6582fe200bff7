//! Selects the log lines that belong to a request.
//!
//! Lines that name the request belong to it. Other lines belong to it if they share a key with those: an attempt's
//! ticket or a turn's admission within the same process, else the turn that it continues, else its program. A ticket
//! and an admission are valid until their end event, as a later start of the process may reuse the number. Turns and
//! programs count only while the request was in flight in any process.

use super::record::LogRecord;
use super::source::LogSource;
use std::collections::{BTreeMap, BTreeSet};

/// The key of a request's id.
const REQUEST: &str = "request";
/// Keys that are valid within one process only.
const PROCESS_KEYS: [&str; 2] = ["ticket", "turn"];
/// Keys that are valid in all processes, the most specific first.
const SYSTEM_KEYS: [&str; 2] = ["previous", "program"];
/// The event with the reasons of a choice, logged right before the choice itself.
const CHOICE_REASON: &str = "choice_reason";
/// Events that end the validity of a process key: event name and key.
const END_EVENTS: [(&str, &str); 2] = [("outcome", "ticket"), ("release", "turn")];

/// A process, as identified in log lines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Process {
    node: String,
    role: String,
}

impl Process {
    fn of(record: &LogRecord) -> Process {
        Process {
            node: record.node.clone(),
            role: record.role.clone(),
        }
    }
}

/// The log records of one request, ordered by time.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// Id of the request.
    pub request: String,
    /// Records that belong to the request.
    pub records: Vec<LogRecord>,
}

impl RequestTrace {
    /// Collects the records that belong to a request.
    ///
    /// # Errors
    ///
    /// If a log can't be read.
    pub fn read(request: &str, source: &LogSource) -> anyhow::Result<RequestTrace> {
        let mut keys = RequestKeys::default();
        source.for_each_record(|record| {
            if record.event.get(REQUEST) == Some(request) {
                keys.add(&record);
            }
        })?;
        let mut records = Vec::new();
        let mut reasons: BTreeMap<Process, LogRecord> = BTreeMap::new();
        source.for_each_record(|record| {
            let process = Process::of(&record);
            let reason = reasons.remove(&process);
            match record.event.get(REQUEST) {
                Some(other) if other != request => {}
                Some(_) => {
                    records.extend(reason);
                    records.push(record);
                }
                None if record.event.name == CHOICE_REASON
                    && record.event.get("ticket").is_none() =>
                {
                    reasons.insert(process, record);
                }
                None if keys.covers_record(&process, &record) => records.push(record),
                None => {}
            }
        })?;
        records.sort_by(|left, right| left.time.cmp(&right.time));
        Ok(RequestTrace {
            request: request.to_owned(),
            records,
        })
    }

    /// Whether no record belongs to the request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// A key with its value that is valid within one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessKey {
    process: Process,
    key: &'static str,
    value: String,
}

/// A key with its value that is valid in all processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SystemKey {
    key: &'static str,
    value: String,
}

/// The keys of all records that name the request.
#[derive(Default)]
struct RequestKeys {
    process_keys: BTreeSet<ProcessKey>,
    /// Process keys whose end event has been read.
    ended: BTreeSet<ProcessKey>,
    system_keys: BTreeSet<SystemKey>,
    /// Time span of the request in each process.
    spans: BTreeMap<Process, TimeSpan>,
    /// Time span of the request over all processes.
    total_span: Option<TimeSpan>,
}

#[derive(Clone, Debug)]
struct TimeSpan {
    first: String,
    last: String,
}

impl TimeSpan {
    fn at(time: &str) -> TimeSpan {
        TimeSpan {
            first: time.to_owned(),
            last: time.to_owned(),
        }
    }

    fn extend_to(&mut self, time: &str) {
        if time < self.first.as_str() {
            time.clone_into(&mut self.first);
        }
        if time > self.last.as_str() {
            time.clone_into(&mut self.last);
        }
    }

    fn covers(&self, time: &str) -> bool {
        self.first.as_str() <= time && time <= self.last.as_str()
    }
}

impl RequestKeys {
    fn add(&mut self, record: &LogRecord) {
        let process = Process::of(record);
        for key in PROCESS_KEYS {
            if let Some(value) = record.event.get(key) {
                let (process, value) = (process.clone(), value.to_owned());
                self.process_keys.insert(ProcessKey {
                    process,
                    key,
                    value,
                });
            }
        }
        for key in SYSTEM_KEYS {
            if let Some(value) = record.event.get(key).filter(|value| !value.is_empty()) {
                self.system_keys.insert(SystemKey {
                    key,
                    value: value.to_owned(),
                });
            }
        }
        let time = record.time.as_str();
        self.spans
            .entry(process)
            .or_insert_with(|| TimeSpan::at(time))
            .extend_to(time);
        self.total_span
            .get_or_insert_with(|| TimeSpan::at(time))
            .extend_to(time);
    }

    /// Whether a record that names no request belongs to this request.
    fn covers_record(&mut self, process: &Process, record: &LogRecord) -> bool {
        if let Some((key, value)) = first_key(&PROCESS_KEYS, record) {
            let process = process.clone();
            return self.covers_process_key(
                ProcessKey {
                    process,
                    key,
                    value,
                },
                record,
            );
        }
        // Only the most specific key decides: another turn of the same program continues a different turn.
        let key = first_key(&SYSTEM_KEYS, record).map(|(key, value)| SystemKey { key, value });
        let shares_key = key.is_some_and(|key| self.system_keys.contains(&key));
        shares_key
            && self
                .total_span
                .as_ref()
                .is_some_and(|span| span.covers(&record.time))
    }

    fn covers_process_key(&mut self, key: ProcessKey, record: &LogRecord) -> bool {
        let has_begun = self
            .spans
            .get(&key.process)
            .is_some_and(|span| span.first <= record.time);
        if !has_begun || !self.process_keys.contains(&key) || self.ended.contains(&key) {
            return false;
        }
        if END_EVENTS.contains(&(record.event.name.as_str(), key.key)) {
            self.ended.insert(key);
        }
        true
    }
}

/// The first of the given keys that a record has, with its value.
fn first_key(keys: &[&'static str], record: &LogRecord) -> Option<(&'static str, String)> {
    keys.iter()
        .find_map(|key| Some((*key, record.event.get(key)?.to_owned())))
}
