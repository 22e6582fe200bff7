//! One process's side of the wire: the instances it hosts, their invocations and timers.

use crate::error::ProtocolError;
use dunespur_decisions::types::{
    Action, Arrival, AttemptResult, CounterReply, Decision, Invocation, Outcome, Readiness, Server,
    Stage,
};
use dunespur_decisions::Limiter;
use dunespur_settings::{parse, SettingsDocument};
use std::collections::HashMap;
use std::io::Write;

/// Timer number of the module's own tick; invocations use their numbers, from 1.
const TICK: u64 = 0;
/// The bit of `bitmap` that a client's repeat has set.
const REPEAT: u64 = 2;

struct Row {
    server: String,
    zone: String,
    cell: u64,
    started_at: f64,
    readiness: Readiness,
}

/// One limiter and what it has in hand.
struct Host {
    limiter: Limiter,
    read: SettingsDocument,
    servers: HashMap<String, usize>,
    addresses: Vec<String>,
    by_id: HashMap<String, u64>,
    held: HashMap<u64, (String, Invocation)>,
    /// When the timer set for an invocation comes due.
    due: HashMap<u64, f64>,
    last: u64,
}

#[derive(Default)]
pub struct Wire {
    hosts: HashMap<String, Host>,
    lists: HashMap<u64, Vec<Row>>,
    filling: Option<(u64, usize)>,
    batch: Option<(f64, String)>,
}

/// The fields of one line, taken in order.
struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    fn text(&mut self, field: &'static str) -> Result<&'a str, ProtocolError> {
        let text = self.0.next().filter(|text| !text.is_empty());
        text.ok_or(ProtocolError::Missing(field))
    }

    fn number(&mut self, field: &'static str) -> Result<f64, ProtocolError> {
        match self.text(field)? {
            "-" => Ok(0.0),
            text => {
                let number = text.parse().ok().filter(|number: &f64| number.is_finite());
                number.ok_or_else(|| ProtocolError::NotANumber {
                    field,
                    text: text.to_owned(),
                })
            }
        }
    }

    fn integer(&mut self, field: &'static str) -> Result<u64, ProtocolError> {
        match self.text(field)? {
            "-" => Ok(0),
            text => text.parse().map_err(|_| ProtocolError::NotAnInteger {
                field,
                text: text.to_owned(),
            }),
        }
    }
}

fn position(names: &[String], name: &str, field: &'static str) -> Result<usize, ProtocolError> {
    let position = names.iter().position(|known| known == name);
    position.ok_or_else(|| ProtocolError::NotInSettings {
        field,
        name: name.to_owned(),
    })
}

fn unknown(field: &'static str, text: &str) -> ProtocolError {
    ProtocolError::Unknown {
        field,
        text: text.to_owned(),
    }
}

impl Host {
    fn tgt(&mut self, server: &str) -> usize {
        if let Some(&tgt) = self.servers.get(server) {
            return tgt;
        }
        self.servers.insert(server.to_owned(), self.addresses.len());
        self.addresses.push(server.to_owned());
        self.addresses.len() - 1
    }

    /// Writes out one answer about an invocation; those that are finished with nothing out are let go.
    fn answer(
        &mut self,
        name: &str,
        num: u64,
        answer: Decision,
        now: f64,
        out: &mut impl Write,
    ) -> Done {
        let Some((id, inv)) = self.held.get(&num) else {
            return Ok(());
        };
        let wait = self.limiter.wait_time(inv, now);
        match answer {
            Decision::Send(tgt) => writeln!(
                out,
                "TRY {name} {id} {} {:.6}",
                self.addresses[tgt],
                now + wait
            ),
            Decision::Hold if inv.stage != Stage::InFlight => {
                let due = self.due.get(&num).copied().unwrap_or(f64::INFINITY);
                if now + wait < due {
                    self.due.insert(num, now + wait);
                    writeln!(out, "TIMER {name} {num} {wait:.6}")
                } else {
                    Ok(())
                }
            }
            Decision::Throttle { pause, .. } => writeln!(out, "PUSH_BACK {name} {id} {pause:.6}"),
            Decision::Error => writeln!(out, "ERROR {name} {id}"),
            Decision::Hold | Decision::Done => Ok(()),
        }?;
        if inv.stage == Stage::Done && inv.in_flight == 0 {
            self.by_id.remove(id);
            self.due.remove(&num);
            self.held.remove(&num);
        }
        Ok(())
    }

    fn place(&mut self, name: &str, num: u64, now: f64, out: &mut impl Write) -> Done {
        let Some((_, inv)) = self.held.get_mut(&num) else {
            return Ok(());
        };
        if matches!(inv.stage, Stage::InFlight | Stage::Done) {
            return Ok(());
        }
        let answer = self.limiter.place(inv, now);
        self.answer(name, num, answer, now, out)
    }

    fn carry_out(&mut self, name: &str, now: f64, out: &mut impl Write) -> Done {
        while let Some(action) = self.limiter.next_action() {
            match action {
                Action::Place(num) => self.place(name, num, now, out)?,
                Action::AddToCounter {
                    name: count,
                    add,
                    lifetime: life,
                    ..
                } => {
                    writeln!(out, "TALLY {name} {life} {add:.6} {count}")?;
                }
                Action::WatchEndpoints => writeln!(out, "STREAM_CHANGES {name} 1")?,
                Action::ScheduleTick(after) => writeln!(out, "TIMER {name} {TICK} {after:.6}")?,
            }
        }
        Ok(())
    }
}

type Done = std::io::Result<()>;

impl Wire {
    /// Takes one line; true when it ended a batch and the reply stands in `out`.
    pub fn line(&mut self, line: &str, out: &mut impl Write) -> Result<bool, ProtocolError> {
        let mut fields = Fields(line.split(' '));
        let verb = fields.0.next().unwrap_or("");
        if let Some((list, left)) = self.filling.filter(|&(_, left)| left > 0) {
            if verb != "ROW" {
                return Err(ProtocolError::ListIncomplete { list, left });
            }
            self.row(list, &mut fields)?;
            self.filling = Some((list, left - 1));
            return Ok(false);
        }
        if verb == "MARK" {
            if self.batch.is_some() {
                return Err(ProtocolError::NestedBatch);
            }
            let clock = fields.number("clock")?;
            self.batch = Some((clock, fields.text("batch number")?.to_owned()));
            return Ok(false);
        }
        let Some((now, batch)) = &self.batch else {
            if line.is_empty() {
                return Ok(false);
            }
            return Err(ProtocolError::OutsideBatch(verb.to_owned()));
        };
        let now = *now;
        if verb == "EOF_BATCH" {
            writeln!(out, "FINISHED {batch}")?;
            self.batch = None;
            return Ok(true);
        }
        if verb == "INVENTORY" {
            let list = fields.integer("setId")?;
            self.lists.insert(list, Vec::new());
            self.filling = Some((list, fields.integer("records")? as usize));
            return Ok(false);
        }
        let name = fields.text("limiterId")?.to_owned();
        if verb == "NEW_INSTANCE" {
            let host = Host::read(&mut fields, now)?;
            self.hosts.insert(name.clone(), host);
        } else if verb == "STOP" {
            self.hosts.remove(&name);
            return Ok(false);
        }
        let Some(host) = self.hosts.get_mut(&name) else {
            return Err(ProtocolError::NeverStarted(name));
        };
        if verb == "VIEW" {
            host.view(&self.lists, &mut fields, now)?;
        } else if verb != "NEW_INSTANCE" {
            host.event(&name, verb, &mut fields, now, out)?;
        }
        host.carry_out(&name, now, out)?;
        Ok(false)
    }

    fn row(&mut self, list: u64, fields: &mut Fields) -> Result<(), ProtocolError> {
        let started_at = fields.number("cameUpS")?;
        let zone = fields.text("area")?.to_owned();
        let readiness = match fields.text("readiness")? {
            "live" => Readiness::Live,
            "quiescing" => Readiness::Draining,
            "dead" => Readiness::Gone,
            other => return Err(unknown("readiness", other)),
        };
        let cell = fields.integer("block")?;
        let server = fields.text("server")?.to_owned();
        self.lists.entry(list).or_default().push(Row {
            server,
            zone,
            cell,
            started_at,
            readiness,
        });
        Ok(())
    }
}

impl Host {
    /// A new instance, with the settings that its line has.
    fn read(fields: &mut Fields, now: f64) -> Result<Self, ProtocolError> {
        let seed = fields.integer("rngSeed")?;
        let document = fields.0.by_ref().collect::<Vec<_>>().join(" ");
        let read = parse(&document, seed)?;
        Ok(Host {
            limiter: Limiter::new(&read.settings, now),
            read,
            servers: HashMap::new(),
            addresses: Vec::new(),
            by_id: HashMap::new(),
            held: HashMap::new(),
            due: HashMap::new(),
            last: TICK,
        })
    }

    /// Discovery's list as this instance is to see it.
    fn view(
        &mut self,
        lists: &HashMap<u64, Vec<Row>>,
        fields: &mut Fields,
        now: f64,
    ) -> Result<(), ProtocolError> {
        let list = fields.integer("setId")?;
        let scope = fields.text("scope")?;
        fields.integer("seqNo")?;
        let complete = match scope {
            "lost" => {
                self.limiter.watch_lost();
                return Ok(());
            }
            "incr" => false,
            "total" | "warm_copy" => true,
            other => return Err(unknown("scope", other)),
        };
        let rows = lists.get(&list).ok_or(ProtocolError::UnknownList(list))?;
        let mut entries = Vec::with_capacity(rows.len());
        for row in rows {
            let zone = position(&self.read.zones, &row.zone, "area")?;
            entries.push(Server {
                index: self.tgt(&row.server),
                zone,
                cell: row.cell,
                started_at: row.started_at,
                readiness: row.readiness,
            });
        }
        self.limiter.update_endpoints(&entries, complete, now);
        Ok(())
    }

    fn event(
        &mut self,
        name: &str,
        verb: &str,
        fields: &mut Fields,
        now: f64,
        out: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        match verb {
            "NEW_REQUEST" => self.new_request(name, fields, now, out),
            "RESPONSE" => self.response(name, fields, now, out),
            "ABORTED" => self.aborted(name, fields, now, out),
            "TICK_DUE" => self.timer_due(name, fields, now, out),
            "SUM" => self.counter_answer(fields, now),
            // Nothing is probed, told to peers or streamed yet: these arrive, if at all, unasked.
            "SAMPLED" | "MESSAGE" | "UNDER_WAY" => Ok(()),
            other => Err(unknown("message", other)),
        }
    }

    fn new_request(
        &mut self,
        name: &str,
        fields: &mut Fields,
        now: f64,
        out: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        let id = fields.text("opId")?.to_owned();
        let units = fields.number("sizeUnits")?;
        let plan = position(&self.read.plans, fields.text("tariff")?, "tariff")?;
        let operation = position(
            &self.read.operations,
            fields.text("tierClass")?,
            "tierClass",
        )?;
        let first_gateway = fields.integer("firstDoor")? as u32;
        let gateways = fields.integer("setSize")? as u32;
        let customer = fields.integer("holder")?;
        let repeat = fields.integer("bitmap")? & REPEAT != 0;
        let until = fields.number("validUntilS")?;
        self.last += 1;
        let num = self.last;
        let mut inv = Invocation::from(Arrival {
            id: num,
            customer,
            plan,
            operation,
            units,
            first_gateway,
            gateways,
            arrived_at: now,
            client_deadline: until,
        });
        inv.repeat = repeat;
        self.by_id.insert(id.clone(), num);
        self.held.insert(num, (id, inv));
        Ok(self.place(name, num, now, out)?)
    }

    fn response(
        &mut self,
        name: &str,
        fields: &mut Fields,
        now: f64,
        out: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        let id = fields.text("opId")?;
        let n = fields.integer("n")? as usize;
        fields.text("server")?;
        let ending = match fields.text("result")? {
            "ok" => AttemptResult::Succeeded,
            "error" => AttemptResult::Error,
            "full" => AttemptResult::Overloaded,
            "timeout" => AttemptResult::Timeout,
            "connect_failed" => AttemptResult::ConnectFailed,
            "reset" => AttemptResult::Reset,
            "cancelled" => AttemptResult::Cancelled,
            "moot" => AttemptResult::NotSent,
            other => return Err(unknown("result", other)),
        };
        let spent = fields.number("spentS")?;
        let done = fields.integer("doneFlag")? != 0;
        let used = Some(fields.number("usePct")?)
            .filter(|&percent| percent > 0.0)
            .map(|percent| (percent - 1.0) / 100.0);
        let cost = fields.number("cost")?;
        let settled = Some(cost).filter(|&cost| self.read.charges_by_use && cost > 0.0);
        let Some(&num) = self.by_id.get(id) else {
            return Ok(());
        };
        let Some((_, inv)) = self.held.get_mut(&num) else {
            return Ok(());
        };
        let outcome = Outcome {
            attempt: n,
            result: ending,
            duration: spent,
            answered: done,
            usage: used,
            settled_units: settled,
        };
        let answer = self.limiter.attempt_ended(inv, &outcome, now);
        Ok(self.answer(name, num, answer, now, out)?)
    }

    fn aborted(
        &mut self,
        name: &str,
        fields: &mut Fields,
        now: f64,
        out: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        let id = fields.text("opId")?;
        let Some(&num) = self.by_id.get(id) else {
            return Ok(());
        };
        let Some((_, inv)) = self.held.get_mut(&num) else {
            return Ok(());
        };
        self.limiter.disconnected(inv);
        Ok(self.answer(name, num, Decision::Done, now, out)?)
    }

    fn timer_due(
        &mut self,
        name: &str,
        fields: &mut Fields,
        now: f64,
        out: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        match fields.integer("cookie")? {
            TICK => {
                self.limiter.tick();
                Ok(())
            }
            num if self.due.get(&num).is_some_and(|&due| due <= now + 1e-6) => {
                self.due.remove(&num);
                Ok(self.place(name, num, now, out)?)
            }
            _ => Ok(()),
        }
    }

    fn counter_answer(&mut self, fields: &mut Fields, now: f64) -> Result<(), ProtocolError> {
        let count = fields.integer("slotName")?;
        let result = fields.text("result")?;
        let value = fields.number("value")?;
        let counted = match result {
            "ok" => CounterReply::Total(value),
            "full" | "connect_failed" => CounterReply::Refused,
            "timeout" => CounterReply::NoReply,
            other => return Err(unknown("result", other)),
        };
        let spent = fields.number("spentS")?;
        self.limiter.counter_answered(count, counted, spent, now);
        Ok(())
    }
}
