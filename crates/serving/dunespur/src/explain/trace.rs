//! Which lines belong to a request.
//!
//! Lines that name the request do. Others belong to it if they share a key with them: an attempt's ticket or a turn's
//! admission within the same process, else the turn that it continues, else its program. A ticket and an admission have
//! an end, after which another incarnation of the process may use the same number; what is shared by name counts only
//! while the request was in flight anywhere.

use super::record::LogRecord;
use super::source::Source;
use std::collections::{BTreeMap, BTreeSet};

/// The key of a request's id.
const REQUEST: &str = "request";
/// Keys that name something within one process alone.
const PROCESS_KEYS: [&str; 2] = ["ticket", "turn"];
/// Keys that name the same thing in all processes, the narrowest first.
const SYSTEM_KEYS: [&str; 2] = ["previous", "program"];
/// A choice's reasons, written right before the choice itself.
const CHOICE_REASON: &str = "choice_reason";
/// Events after which a key of a process names nothing any more.
const END_EVENTS: [(&str, &str); 2] = [("outcome", "ticket"), ("release", "turn")];

/// A process, as far as log lines name it.
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

/// The lines of one request, in the order of their times.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// Its id.
    pub request: String,
    /// The lines that belong to it.
    pub records: Vec<LogRecord>,
}

impl RequestTrace {
    /// Collects the lines that belong to a request.
    ///
    /// # Errors
    ///
    /// If a log can't be read.
    pub fn read(request: &str, source: &Source) -> anyhow::Result<RequestTrace> {
        let mut keys = RequestKeys::default();
        source.each(|record| {
            if record.event.get(REQUEST) == Some(request) {
                keys.add(&record);
            }
        })?;
        let mut records = Vec::new();
        let mut reasons: BTreeMap<Process, LogRecord> = BTreeMap::new();
        source.each(|record| {
            let process = Process::of(&record);
            let before = reasons.remove(&process);
            match record.event.get(REQUEST) {
                Some(other) if other != request => {}
                Some(_) => {
                    records.extend(before);
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
        records.sort_by(|one, other| one.time.cmp(&other.time));
        Ok(RequestTrace {
            request: request.to_owned(),
            records,
        })
    }

    /// Whether no line belongs to the request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// A key with its value, valid within one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessKey {
    process: Process,
    key: &'static str,
    value: String,
}

/// A key with its value, valid in all processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SystemKey {
    key: &'static str,
    value: String,
}

/// The keys of the lines that name the request.
#[derive(Default)]
struct RequestKeys {
    process_keys: BTreeSet<ProcessKey>,
    /// Those of them that have ended.
    ended: BTreeSet<ProcessKey>,
    system_keys: BTreeSet<SystemKey>,
    /// First and last time in each process.
    spans: BTreeMap<Process, Span>,
    /// First and last time in any process.
    total: Option<Span>,
}

#[derive(Clone, Debug)]
struct Span {
    first: String,
    last: String,
}

impl Span {
    fn at(time: &str) -> Span {
        Span {
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
            .or_insert_with(|| Span::at(time))
            .extend_to(time);
        self.total
            .get_or_insert_with(|| Span::at(time))
            .extend_to(time);
    }

    /// Whether a line that names no request belongs to this one.
    fn covers_record(&mut self, process: &Process, record: &LogRecord) -> bool {
        if let Some((key, value)) = first_of(&PROCESS_KEYS, record) {
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
        // The first key decides: another turn of the same program continues another turn.
        let key = first_of(&SYSTEM_KEYS, record).map(|(key, value)| SystemKey { key, value });
        let is_shared = key.is_some_and(|key| self.system_keys.contains(&key));
        is_shared
            && self
                .total
                .as_ref()
                .is_some_and(|span| span.covers(&record.time))
    }

    fn covers_process_key(&mut self, id: ProcessKey, record: &LogRecord) -> bool {
        let has_begun = self
            .spans
            .get(&id.process)
            .is_some_and(|span| span.first <= record.time);
        if !has_begun || !self.process_keys.contains(&id) || self.ended.contains(&id) {
            return false;
        }
        if END_EVENTS.contains(&(record.event.name.as_str(), id.key)) {
            self.ended.insert(id);
        }
        true
    }
}

/// The first of these keys that a record has, with its value.
fn first_of(keys: &[&'static str], record: &LogRecord) -> Option<(&'static str, String)> {
    keys.iter()
        .find_map(|key| Some((*key, record.event.get(key)?.to_owned())))
}
