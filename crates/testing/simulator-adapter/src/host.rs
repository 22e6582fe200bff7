//! One process's side of the wire: the instances it hosts, their invocations and timers.

use dunespur_decisions::types::*;
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
    came_up: f64,
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

/// The parts of one line, taken in order.
struct Parts<'a>(std::str::Split<'a, char>);

impl<'a> Parts<'a> {
    fn text(&mut self, what: &str) -> Result<&'a str, String> {
        self.0
            .next()
            .filter(|s| !s.is_empty())
            .ok_or(format!("{what} is missing"))
    }

    fn number(&mut self, what: &str) -> Result<f64, String> {
        match self.text(what)? {
            "-" => Ok(0.0),
            s => s
                .parse()
                .ok()
                .filter(|x: &f64| x.is_finite())
                .ok_or(format!("{what} '{s}' is not a number")),
        }
    }

    fn whole(&mut self, what: &str) -> Result<u64, String> {
        match self.text(what)? {
            "-" => Ok(0),
            s => s
                .parse()
                .map_err(|_| format!("{what} '{s}' is not a whole number")),
        }
    }
}

fn position(names: &[String], name: &str, what: &str) -> Result<usize, String> {
    names
        .iter()
        .position(|n| n == name)
        .ok_or(format!("{what} '{name}' is not in the settings"))
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
        answer: Answer,
        now: f64,
        out: &mut impl Write,
    ) -> Done {
        let Some((id, inv)) = self.held.get(&num) else {
            return Ok(());
        };
        let wait = self.limiter.wait(inv, now);
        match answer {
            Answer::Send(tgt) => writeln!(
                out,
                "TRY {name} {id} {} {:.6}",
                self.addresses[tgt],
                now + wait
            ),
            Answer::Hold if inv.stage != Stage::Out => {
                let due = self.due.get(&num).copied().unwrap_or(f64::INFINITY);
                if now + wait < due {
                    self.due.insert(num, now + wait);
                    writeln!(out, "TIMER {name} {num} {wait:.6}")
                } else {
                    Ok(())
                }
            }
            Answer::Throttle { pause, .. } => writeln!(out, "PUSH_BACK {name} {id} {pause:.6}"),
            Answer::Error => writeln!(out, "ERROR {name} {id}"),
            Answer::Hold | Answer::Done => Ok(()),
        }?;
        if inv.stage == Stage::Done && inv.out == 0 {
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
        if matches!(inv.stage, Stage::Out | Stage::Done) {
            return Ok(());
        }
        let answer = self.limiter.place(inv, now);
        self.answer(name, num, answer, now, out)
    }

    fn carry_out(&mut self, name: &str, now: f64, out: &mut impl Write) -> Done {
        while let Some(action) = self.limiter.next_action() {
            match action {
                Action::Ask(num) => self.place(name, num, now, out)?,
                Action::Count {
                    name: count,
                    add,
                    life,
                    ..
                } => {
                    writeln!(out, "TALLY {name} {life} {add:.6} {count}")?;
                }
                Action::WatchEndpoints => writeln!(out, "STREAM_CHANGES {name} 1")?,
                Action::Tick(after) => writeln!(out, "TIMER {name} {TICK} {after:.6}")?,
            }
        }
        Ok(())
    }
}

type Done = std::io::Result<()>;

impl Wire {
    /// Takes one line; true when it ended a batch and the reply stands in `out`.
    pub fn line(&mut self, line: &str, out: &mut impl Write) -> Result<bool, String> {
        let mut parts = Parts(line.split(' '));
        let verb = parts.0.next().unwrap_or("");
        if let Some((list, left)) = self.filling.filter(|&(_, left)| left > 0) {
            if verb != "ROW" {
                return Err(format!("list {list} lacks {left} entries"));
            }
            self.row(list, &mut parts)?;
            self.filling = Some((list, left - 1));
            return Ok(false);
        }
        if verb == "MARK" {
            if self.batch.is_some() {
                return Err("a batch starts inside another".into());
            }
            self.batch = Some((
                parts.number("clock")?,
                parts.text("batch number")?.to_owned(),
            ));
            return Ok(false);
        }
        let Some((now, batch)) = &self.batch else {
            return if line.is_empty() {
                Ok(false)
            } else {
                Err(format!("'{verb}' stands outside a batch"))
            };
        };
        let now = *now;
        if verb == "EOF_BATCH" {
            writeln!(out, "FINISHED {batch}").map_err(|e| e.to_string())?;
            self.batch = None;
            return Ok(true);
        }
        if verb == "INVENTORY" {
            let list = parts.whole("setId")?;
            self.lists.insert(list, Vec::new());
            self.filling = Some((list, parts.whole("records")? as usize));
            return Ok(false);
        }
        let name = parts.text("limiterId")?.to_owned();
        if verb == "NEW_INSTANCE" {
            let seed = parts.whole("rngSeed")?;
            let document = parts.0.by_ref().collect::<Vec<_>>().join(" ");
            let read = parse(&document, seed).map_err(|error| error.to_string())?;
            let host = Host {
                limiter: Limiter::new(&read.settings, now),
                read,
                servers: HashMap::new(),
                addresses: Vec::new(),
                by_id: HashMap::new(),
                held: HashMap::new(),
                due: HashMap::new(),
                last: TICK,
            };
            self.hosts.insert(name.clone(), host);
        } else if verb == "STOP" {
            self.hosts.remove(&name);
            return Ok(false);
        }
        let host = self
            .hosts
            .get_mut(&name)
            .ok_or(format!("instance '{name}' was never started"))?;
        if verb == "VIEW" {
            let list = parts.whole("setId")?;
            let scope = parts.text("scope")?;
            parts.whole("seqNo")?;
            if scope == "lost" {
                host.limiter.watch_lost();
            } else {
                let complete = match scope {
                    "incr" => false,
                    "total" | "warm_copy" => true,
                    other => return Err(format!("scope '{other}' is unknown")),
                };
                let rows = self
                    .lists
                    .get(&list)
                    .ok_or(format!("list {list} was never given"))?;
                let mut entries = Vec::with_capacity(rows.len());
                for row in rows {
                    let zone = position(&host.read.zones, &row.zone, "area")?;
                    entries.push(Server {
                        tgt: host.tgt(&row.server),
                        zone,
                        cell: row.cell,
                        came_up: row.came_up,
                        readiness: row.readiness,
                    });
                }
                host.limiter.endpoints(&entries, complete, now);
            }
        } else if verb != "NEW_INSTANCE" {
            Self::event(host, &name, verb, &mut parts, now, out)?;
        }
        host.carry_out(&name, now, out).map_err(|e| e.to_string())?;
        Ok(false)
    }

    fn row(&mut self, list: u64, parts: &mut Parts) -> Result<(), String> {
        let came_up = parts.number("cameUpS")?;
        let zone = parts.text("area")?.to_owned();
        let readiness = match parts.text("readiness")? {
            "live" => Readiness::Live,
            "quiescing" => Readiness::Draining,
            "dead" => Readiness::Gone,
            other => return Err(format!("readiness '{other}' is unknown")),
        };
        let cell = parts.whole("block")?;
        let server = parts.text("server")?.to_owned();
        self.lists.entry(list).or_default().push(Row {
            server,
            zone,
            cell,
            came_up,
            readiness,
        });
        Ok(())
    }

    fn event(
        host: &mut Host,
        name: &str,
        verb: &str,
        parts: &mut Parts,
        now: f64,
        out: &mut impl Write,
    ) -> Result<(), String> {
        let io = |e: std::io::Error| e.to_string();
        match verb {
            "NEW_REQUEST" => {
                let id = parts.text("opId")?.to_owned();
                let units = parts.number("sizeUnits")?;
                let plan = position(&host.read.plans, parts.text("tariff")?, "tariff")?;
                let operation =
                    position(&host.read.operations, parts.text("tierClass")?, "tierClass")?;
                let first_gateway = parts.whole("firstDoor")? as u32;
                let gateways = parts.whole("setSize")? as u32;
                let customer = parts.whole("holder")?;
                let repeat = parts.whole("bitmap")? & REPEAT != 0;
                let until = parts.number("validUntilS")?;
                host.last += 1;
                let num = host.last;
                let mut inv = Invocation::from(Arrival {
                    num,
                    customer,
                    plan,
                    operation,
                    units,
                    first_gateway,
                    gateways,
                    came: now,
                    until,
                });
                inv.repeat = repeat;
                host.by_id.insert(id.clone(), num);
                host.held.insert(num, (id, inv));
                host.place(name, num, now, out).map_err(io)
            }
            "RESPONSE" => {
                let id = parts.text("opId")?;
                let n = parts.whole("n")? as usize;
                parts.text("server")?;
                let ending = match parts.text("result")? {
                    "ok" => Ending::Succeeded,
                    "error" => Ending::Error,
                    "full" => Ending::Full,
                    "timeout" => Ending::Timeout,
                    "connect_failed" => Ending::ConnectFailed,
                    "reset" => Ending::Reset,
                    "cancelled" => Ending::Cancelled,
                    "moot" => Ending::Moot,
                    other => return Err(format!("result '{other}' is unknown")),
                };
                let spent = parts.number("spentS")?;
                let done = parts.whole("doneFlag")? != 0;
                let used = Some(parts.number("usePct")?)
                    .filter(|&u| u > 0.0)
                    .map(|u| (u - 1.0) / 100.0);
                let cost = parts.number("cost")?;
                let settled = Some(cost).filter(|&c| host.read.charges_by_use && c > 0.0);
                let Some(&num) = host.by_id.get(id) else {
                    return Ok(());
                };
                let Some((_, inv)) = host.held.get_mut(&num) else {
                    return Ok(());
                };
                let outcome = Outcome {
                    n,
                    ending,
                    spent,
                    done,
                    used,
                    settled,
                };
                let answer = host.limiter.after(inv, &outcome, now);
                host.answer(name, num, answer, now, out).map_err(io)
            }
            "ABORTED" => {
                let id = parts.text("opId")?;
                let Some(&num) = host.by_id.get(id) else {
                    return Ok(());
                };
                let Some((_, inv)) = host.held.get_mut(&num) else {
                    return Ok(());
                };
                host.limiter.disconnected(inv);
                host.answer(name, num, Answer::Done, now, out).map_err(io)
            }
            "TICK_DUE" => match parts.whole("cookie")? {
                TICK => {
                    host.limiter.tick();
                    Ok(())
                }
                num if host.due.get(&num).is_some_and(|&due| due <= now + 1e-6) => {
                    host.due.remove(&num);
                    host.place(name, num, now, out).map_err(io)
                }
                _ => Ok(()),
            },
            "SUM" => {
                let count = parts.whole("slotName")?;
                let result = parts.text("result")?;
                let value = parts.number("value")?;
                let counted = match result {
                    "ok" => Counted::Total(value),
                    "full" | "connect_failed" => Counted::Refused,
                    "timeout" => Counted::Silent,
                    other => return Err(format!("result '{other}' is unknown")),
                };
                let spent = parts.number("spentS")?;
                host.limiter.counted(count, counted, spent, now);
                Ok(())
            }
            // Nothing is probed, told to peers or streamed yet: these arrive, if at all, unasked.
            "SAMPLED" | "MESSAGE" | "UNDER_WAY" => Ok(()),
            other => Err(format!("message '{other}' is unknown")),
        }
    }
}
