//! Translates the simulator's line protocol into calls of the limiters, and their decisions and actions into replies.
//! Keeps the limiter instances, their invocations and their timers.

use crate::error::ProtocolError;
use dunespur_decisions::types::{
    Action, Arrival, AttemptResult, CounterReply, Decision, Invocation, Outcome, Readiness, Server,
    Stage,
};
use dunespur_decisions::Limiter;
use dunespur_settings::{parse, SettingsDocument};
use std::collections::HashMap;
use std::io::Write;

/// Timer number of a limiter's tick. The timer of an invocation has the invocation's number, from 1.
const TICK_TIMER: u64 = 0;
/// Bit of the field `bitmap` that marks a client's repeat of an earlier request.
const REPEAT_BIT: u64 = 2;

/// Longest time by which a timer may fire early, in seconds: `TIMER` lines have six decimals.
const TIMER_TOLERANCE: f64 = 1e-6;

/// One server of an endpoint list, as a `ROW` line describes it.
struct EndpointRow {
    server: String,
    zone: String,
    cell: u64,
    started_at: f64,
    readiness: Readiness,
}

/// One limiter with its settings, its unfinished invocations and their timers.
struct Instance {
    limiter: Limiter,
    document: SettingsDocument,
    /// Index of each server address in `addresses`.
    server_indices: HashMap<String, usize>,
    addresses: Vec<String>,
    /// Number of each unfinished invocation, by its `opId`.
    numbers_by_id: HashMap<String, u64>,
    /// Unfinished invocations with their `opId`, by number.
    invocations: HashMap<u64, (String, Invocation)>,
    /// Due times of the invocations' timers, by invocation number.
    timers: HashMap<u64, f64>,
    /// Number of the newest invocation.
    last_number: u64,
}

/// State of one simulator connection: limiter instances, endpoint lists and the batch in progress.
#[derive(Default)]
pub struct Adapter {
    instances: HashMap<String, Instance>,
    /// Endpoint lists by `setId`.
    lists: HashMap<u64, Vec<EndpointRow>>,
    /// The list that `ROW` lines are filling, and the number of rows still to come.
    filling: Option<(u64, usize)>,
    /// Clock and number of the batch in progress.
    batch: Option<(f64, String)>,
}

/// The fields of one line, read in order. In a numeric field `-` stands for 0.
struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    /// The next field, which must not be empty.
    fn text(&mut self, field: &'static str) -> Result<&'a str, ProtocolError> {
        let text = self.0.next().filter(|text| !text.is_empty());
        text.ok_or(ProtocolError::MissingField(field))
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

/// The index of a name in a list of the settings.
fn position(names: &[String], name: &str, field: &'static str) -> Result<usize, ProtocolError> {
    let position = names.iter().position(|known| known == name);
    position.ok_or_else(|| ProtocolError::NotInSettings {
        field,
        name: name.to_owned(),
    })
}

fn unknown_value(field: &'static str, text: &str) -> ProtocolError {
    ProtocolError::UnknownValue {
        field,
        text: text.to_owned(),
    }
}

impl Instance {
    /// The index of a server address; a new address gets the next index.
    fn server_index(&mut self, server: &str) -> usize {
        if let Some(&index) = self.server_indices.get(server) {
            return index;
        }
        self.server_indices
            .insert(server.to_owned(), self.addresses.len());
        self.addresses.push(server.to_owned());
        self.addresses.len() - 1
    }

    /// Writes the decision on an invocation, and removes a finished invocation that has no attempt in flight.
    fn write_decision(
        &mut self,
        name: &str,
        number: u64,
        decision: Decision,
        now: f64,
        out: &mut impl Write,
    ) -> std::io::Result<()> {
        let Some((id, invocation)) = self.invocations.get(&number) else {
            return Ok(());
        };
        let wait = self.limiter.wait_time(invocation, now);
        match decision {
            Decision::Send(server) => writeln!(
                out,
                "TRY {name} {id} {} {:.6}",
                self.addresses[server],
                now + wait
            ),
            Decision::Hold if invocation.stage != Stage::InFlight => {
                let due = self.timers.get(&number).copied().unwrap_or(f64::INFINITY);
                if now + wait < due {
                    self.timers.insert(number, now + wait);
                    writeln!(out, "TIMER {name} {number} {wait:.6}")
                } else {
                    Ok(())
                }
            }
            Decision::Throttle { pause, .. } => writeln!(out, "PUSH_BACK {name} {id} {pause:.6}"),
            Decision::Error => writeln!(out, "ERROR {name} {id}"),
            Decision::Hold | Decision::Done => Ok(()),
        }?;
        if invocation.stage == Stage::Done && invocation.in_flight == 0 {
            self.numbers_by_id.remove(id);
            self.timers.remove(&number);
            self.invocations.remove(&number);
        }
        Ok(())
    }

    /// Asks the limiter to place an invocation that is still waiting, and writes its decision.
    fn place(
        &mut self,
        name: &str,
        number: u64,
        now: f64,
        out: &mut impl Write,
    ) -> std::io::Result<()> {
        let Some((_, invocation)) = self.invocations.get_mut(&number) else {
            return Ok(());
        };
        if matches!(invocation.stage, Stage::InFlight | Stage::Done) {
            return Ok(());
        }
        let decision = self.limiter.place(invocation, now);
        self.write_decision(name, number, decision, now, out)
    }

    /// Carries out the limiter's pending actions.
    fn run_actions(&mut self, name: &str, now: f64, out: &mut impl Write) -> std::io::Result<()> {
        while let Some(action) = self.limiter.next_action() {
            match action {
                Action::Place(number) => self.place(name, number, now, out)?,
                Action::AddToCounter {
                    name: counter_name,
                    add,
                    lifetime,
                    ..
                } => {
                    writeln!(out, "TALLY {name} {lifetime} {add:.6} {counter_name}")?;
                }
                Action::WatchEndpoints => writeln!(out, "STREAM_CHANGES {name} 1")?,
                Action::ScheduleTick(delay) => {
                    writeln!(out, "TIMER {name} {TICK_TIMER} {delay:.6}")?
                }
            }
        }
        Ok(())
    }
}

impl Adapter {
    /// Processes one line and writes its replies to `out`. Returns true if the line ended a batch.
    pub fn process_line(
        &mut self,
        line: &str,
        out: &mut impl Write,
    ) -> Result<bool, ProtocolError> {
        let mut fields = Fields(line.split(' '));
        let verb = fields.0.next().unwrap_or("");
        if let Some((list, missing)) = self.filling.filter(|&(_, missing)| missing > 0) {
            if verb != "ROW" {
                return Err(ProtocolError::ListIncomplete { list, missing });
            }
            self.add_row(list, &mut fields)?;
            self.filling = Some((list, missing - 1));
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
            let instance = Instance::start(&mut fields, now)?;
            self.instances.insert(name.clone(), instance);
        } else if verb == "STOP" {
            self.instances.remove(&name);
            return Ok(false);
        }
        let Some(instance) = self.instances.get_mut(&name) else {
            return Err(ProtocolError::NotRunning(name));
        };
        if verb == "VIEW" {
            instance.update_endpoints(&self.lists, &mut fields, now)?;
        } else if verb != "NEW_INSTANCE" {
            instance.process_event(&name, verb, &mut fields, now, out)?;
        }
        instance.run_actions(&name, now, out)?;
        Ok(false)
    }

    /// Adds a `ROW` line to an endpoint list.
    fn add_row(&mut self, list: u64, fields: &mut Fields) -> Result<(), ProtocolError> {
        let started_at = fields.number("cameUpS")?;
        let zone = fields.text("area")?.to_owned();
        let readiness = match fields.text("readiness")? {
            "live" => Readiness::Live,
            "quiescing" => Readiness::Draining,
            "dead" => Readiness::Gone,
            other => return Err(unknown_value("readiness", other)),
        };
        let cell = fields.integer("block")?;
        let server = fields.text("server")?.to_owned();
        self.lists.entry(list).or_default().push(EndpointRow {
            server,
            zone,
            cell,
            started_at,
            readiness,
        });
        Ok(())
    }
}

impl Instance {
    /// Starts an instance with the seed and the settings in the rest of a `NEW_INSTANCE` line.
    fn start(fields: &mut Fields, now: f64) -> Result<Self, ProtocolError> {
        let seed = fields.integer("rngSeed")?;
        let settings_text = fields.0.by_ref().collect::<Vec<_>>().join(" ");
        let document = parse(&settings_text, seed)?;
        Ok(Instance {
            limiter: Limiter::new(&document.settings, now),
            document,
            server_indices: HashMap::new(),
            addresses: Vec::new(),
            numbers_by_id: HashMap::new(),
            invocations: HashMap::new(),
            timers: HashMap::new(),
            last_number: TICK_TIMER,
        })
    }

    /// Applies a `VIEW` line: passes an endpoint list, or the loss of the endpoint watch, to the limiter.
    fn update_endpoints(
        &mut self,
        lists: &HashMap<u64, Vec<EndpointRow>>,
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
            other => return Err(unknown_value("scope", other)),
        };
        let rows = lists.get(&list).ok_or(ProtocolError::UnknownList(list))?;
        let mut entries = Vec::with_capacity(rows.len());
        for row in rows {
            let zone = position(&self.document.zones, &row.zone, "area")?;
            entries.push(Server {
                index: self.server_index(&row.server),
                zone,
                cell: row.cell,
                started_at: row.started_at,
                readiness: row.readiness,
            });
        }
        self.limiter.update_endpoints(&entries, complete, now);
        Ok(())
    }

    /// Processes a line about a request, an attempt, a timer or the shared counter.
    fn process_event(
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
            "SUM" => self.counter_reply(fields, now),
            // The adapter starts no probes, peer messages or streams, so their replies are ignored.
            "SAMPLED" | "MESSAGE" | "UNDER_WAY" => Ok(()),
            other => Err(unknown_value("message", other)),
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
        let plan = position(&self.document.plans, fields.text("tariff")?, "tariff")?;
        let operation = position(
            &self.document.operations,
            fields.text("tierClass")?,
            "tierClass",
        )?;
        let first_gateway = fields.integer("firstDoor")? as u32;
        let gateways = fields.integer("setSize")? as u32;
        let customer = fields.integer("holder")?;
        let repeat = fields.integer("bitmap")? & REPEAT_BIT != 0;
        let client_deadline = fields.number("validUntilS")?;
        self.last_number += 1;
        let number = self.last_number;
        let mut invocation = Invocation::from(Arrival {
            id: number,
            customer,
            plan,
            operation,
            units,
            first_gateway,
            gateways,
            arrived_at: now,
            client_deadline,
        });
        invocation.repeat = repeat;
        self.numbers_by_id.insert(id.clone(), number);
        self.invocations.insert(number, (id, invocation));
        Ok(self.place(name, number, now, out)?)
    }

    fn response(
        &mut self,
        name: &str,
        fields: &mut Fields,
        now: f64,
        out: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        let id = fields.text("opId")?;
        let attempt = fields.integer("n")? as usize;
        fields.text("server")?;
        let result = match fields.text("result")? {
            "ok" => AttemptResult::Succeeded,
            "error" => AttemptResult::Error,
            "full" => AttemptResult::Overloaded,
            "timeout" => AttemptResult::Timeout,
            "connect_failed" => AttemptResult::ConnectFailed,
            "reset" => AttemptResult::Reset,
            "cancelled" => AttemptResult::Cancelled,
            "moot" => AttemptResult::NotSent,
            other => return Err(unknown_value("result", other)),
        };
        let duration = fields.number("spentS")?;
        let answered = fields.integer("doneFlag")? != 0;
        let usage = Some(fields.number("usePct")?)
            .filter(|&percent| percent > 0.0)
            .map(|percent| (percent - 1.0) / 100.0);
        let cost = fields.number("cost")?;
        let settled_units = Some(cost).filter(|&cost| self.document.charges_by_use && cost > 0.0);
        let Some(&number) = self.numbers_by_id.get(id) else {
            return Ok(());
        };
        let Some((_, invocation)) = self.invocations.get_mut(&number) else {
            return Ok(());
        };
        let outcome = Outcome {
            attempt,
            result,
            duration,
            answered,
            usage,
            settled_units,
        };
        let decision = self.limiter.attempt_ended(invocation, &outcome, now);
        Ok(self.write_decision(name, number, decision, now, out)?)
    }

    fn aborted(
        &mut self,
        name: &str,
        fields: &mut Fields,
        now: f64,
        out: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        let id = fields.text("opId")?;
        let Some(&number) = self.numbers_by_id.get(id) else {
            return Ok(());
        };
        let Some((_, invocation)) = self.invocations.get_mut(&number) else {
            return Ok(());
        };
        self.limiter.disconnected(invocation);
        Ok(self.write_decision(name, number, Decision::Done, now, out)?)
    }

    fn timer_due(
        &mut self,
        name: &str,
        fields: &mut Fields,
        now: f64,
        out: &mut impl Write,
    ) -> Result<(), ProtocolError> {
        match fields.integer("cookie")? {
            TICK_TIMER => {
                self.limiter.tick();
                Ok(())
            }
            number
                if self
                    .timers
                    .get(&number)
                    .is_some_and(|&due| due <= now + TIMER_TOLERANCE) =>
            {
                self.timers.remove(&number);
                Ok(self.place(name, number, now, out)?)
            }
            _ => Ok(()),
        }
    }

    fn counter_reply(&mut self, fields: &mut Fields, now: f64) -> Result<(), ProtocolError> {
        let counter_name = fields.integer("slotName")?;
        let result = fields.text("result")?;
        let value = fields.number("value")?;
        let reply = match result {
            "ok" => CounterReply::Total(value),
            "full" | "connect_failed" => CounterReply::Refused,
            "timeout" => CounterReply::NoReply,
            other => return Err(unknown_value("result", other)),
        };
        let duration = fields.number("spentS")?;
        self.limiter
            .counter_answered(counter_name, reply, duration, now);
        Ok(())
    }
}
