//! Which lines belong to a request.
//!
//! Lines that name the request do. Others belong to it if they share a key with them: a send's ticket or a turn's
//! admission within the same process, else the turn that it goes on from, else its program. A ticket and an
//! admission have an end, after which another life of the process may use the same number; what is shared by name
//! counts only while the request was under way anywhere.

use super::line::Line;
use super::source::Source;
use std::collections::{BTreeMap, BTreeSet};

/// The key of a request's id.
const REQUEST: &str = "request";
/// Keys that name something within one process alone.
const OF_PROCESS: [&str; 2] = ["ticket", "turn"];
/// Keys that name the same thing in all processes, the narrowest first.
const OF_SYSTEM: [&str; 2] = ["previous", "program"];
/// A choice's reasons, written right before the choice itself.
const REASONS: &str = "why";
/// Events after which a key of a process names nothing any more.
const ENDS: [(&str, &str); 2] = [("outcome", "ticket"), ("release", "turn")];

/// A process, as far as log lines name it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Process {
    node: String,
    role: String,
}

impl Process {
    fn of(line: &Line) -> Process {
        Process {
            node: line.node.clone(),
            role: line.role.clone(),
        }
    }
}

/// The lines of one request, in the order of their times.
#[derive(Clone, Debug)]
pub struct Story {
    pub request: String,
    pub lines: Vec<Line>,
}

impl Story {
    /// Collects the lines that belong to a request.
    pub fn read(request: &str, source: &Source) -> anyhow::Result<Story> {
        let mut named = Named::default();
        source.each(|line| {
            if line.event.get(REQUEST) == Some(request) {
                named.add(&line);
            }
        })?;
        let mut lines = Vec::new();
        let mut reasons: BTreeMap<Process, Line> = BTreeMap::new();
        source.each(|line| {
            let process = Process::of(&line);
            let before = reasons.remove(&process);
            match line.event.get(REQUEST) {
                Some(other) if other != request => {}
                Some(_) => {
                    lines.extend(before);
                    lines.push(line);
                }
                None if line.event.name == REASONS && line.event.get("ticket").is_none() => {
                    reasons.insert(process, line);
                }
                None if named.takes(&process, &line) => lines.push(line),
                None => {}
            }
        })?;
        lines.sort_by(|one, other| one.time.cmp(&other.time));
        Ok(Story {
            request: request.to_owned(),
            lines,
        })
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Names something within one process.
type OwnId = (Process, &'static str, String);

/// What the lines say that name the request.
#[derive(Default)]
struct Named {
    /// Ids that hold within a process.
    of_process: BTreeSet<OwnId>,
    /// Those of them that have ended.
    ended: BTreeSet<OwnId>,
    of_system: BTreeSet<(&'static str, String)>,
    /// First and last time in each process.
    spans: BTreeMap<Process, Span>,
    whole: Option<Span>,
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

    fn stretch(&mut self, time: &str) {
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

impl Named {
    fn add(&mut self, line: &Line) {
        let process = Process::of(line);
        for key in OF_PROCESS {
            if let Some(value) = line.event.get(key) {
                self.of_process
                    .insert((process.clone(), key, value.to_owned()));
            }
        }
        for key in OF_SYSTEM {
            if let Some(value) = line.event.get(key).filter(|value| !value.is_empty()) {
                self.of_system.insert((key, value.to_owned()));
            }
        }
        self.spans
            .entry(process)
            .or_insert_with(|| Span::at(&line.time))
            .stretch(&line.time);
        self.whole
            .get_or_insert_with(|| Span::at(&line.time))
            .stretch(&line.time);
    }

    /// Whether a line that names no request belongs to this one.
    fn takes(&mut self, process: &Process, line: &Line) -> bool {
        let own = OF_PROCESS
            .into_iter()
            .find_map(|key| Some((key, line.event.get(key)?)));
        if let Some((key, value)) = own {
            return self.takes_own((process.clone(), key, value.to_owned()), line);
        }
        // The first key says whose it is: another turn of the same program goes on from another one.
        let first = OF_SYSTEM
            .into_iter()
            .find_map(|key| Some((key, line.event.get(key)?)));
        let shares =
            first.is_some_and(|(key, value)| self.of_system.contains(&(key, value.to_owned())));
        shares
            && self
                .whole
                .as_ref()
                .is_some_and(|span| span.covers(&line.time))
    }

    fn takes_own(&mut self, id: OwnId, line: &Line) -> bool {
        let begun = self
            .spans
            .get(&id.0)
            .is_some_and(|span| span.first <= line.time);
        if !begun || !self.of_process.contains(&id) || self.ended.contains(&id) {
            return false;
        }
        if ENDS.contains(&(line.event.name.as_str(), id.1)) {
            self.ended.insert(id);
        }
        true
    }
}
