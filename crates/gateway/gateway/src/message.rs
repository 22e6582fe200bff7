//! The messages of the protocol, each decoded once into a small typed value and encoded once. Owns the
//! header names, the JSON fields and the counter's line format. It must never read or write a socket, and
//! never judge what a message asks for.

use crate::fault::Fault;
use bytes::{Buf, Bytes, BytesMut};
use dunespur_decisions::types::{AttemptResult, CounterReply, Readiness};
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::header::{CONNECTION, CONTENT_LENGTH, COOKIE, HOST, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::{request, response, uri::PathAndQuery};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::Value;
use std::net::SocketAddr;

/// The largest body, either way.
pub const MOST_BODY: usize = 64 * 1024;
/// Customers' numbers lie below this, written in so many digits.
const CUSTOMERS: u64 = 1 << 33;
const DIGITS: usize = 16;
/// The longest id, and the longest time that a client may wait, in ms.
const MOST_ID: usize = 64;
const MOST_WAIT: u32 = 60_000;
/// The longest line that discovery or the counter may send.
const MOST_LINE: usize = 4 * 1024 * 1024;
pub const READY: &str = "/-/ready";

/// The names that the settings give, in the order of their indices, and the bounds of what a client may ask.
pub struct Names {
    pub plans: Vec<String>,
    pub operations: Vec<String>,
    pub zones: Vec<String>,
    pub fleet: u32,
    pub most_units: f64,
}

/// What a client asks for.
#[derive(Debug)]
pub struct Asked {
    method: Method,
    path: PathAndQuery,
    host: HeaderValue,
    id: HeaderValue,
    token: Option<HeaderValue>,
    body: Bytes,
    pub customer: u64,
    pub plan: usize,
    pub operation: usize,
    pub units: f64,
    pub first_gateway: u32,
    pub gateways: u32,
    /// The client marks it as a repeat.
    pub repeat: bool,
    /// Seconds that the client waits for the answer.
    pub wait: f64,
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Succeeded(Bytes),
    Throttled { pause: f64 },
    Errored,
}

/// What a server said.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    pub ending: AttemptResult,
    pub used: Option<f64>,
    pub body: Bytes,
}

impl Answered {
    /// Nothing was said: this is how it ended instead.
    pub fn none(ending: AttemptResult) -> Self {
        Answered {
            ending,
            used: None,
            body: Bytes::new(),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: usize,
    pub cell: u64,
    pub started_at: f64,
    pub readiness: Readiness,
}

/// Discovery's list, or what changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Member>,
    /// Every member could be read.
    pub whole: bool,
}

fn malformed(what: &str) -> Fault {
    Fault::Malformed(what.to_owned())
}

/// Guards against a name given twice, which two readers may read differently.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Fault> {
    let mut values = headers.get_all(name).iter();
    let value = values
        .next()
        .ok_or_else(|| malformed(&format!("{name} is missing")))?;
    if values.next().is_some() {
        return Err(malformed(&format!("{name} is given twice")));
    }
    value
        .to_str()
        .map_err(|_| malformed(&format!("{name} is no text")))
}

fn index(names: &[String], name: &str, what: &str) -> Result<usize, Fault> {
    names
        .iter()
        .position(|n| n == name)
        .ok_or_else(|| malformed(&format!("{what} is not in the settings")))
}

fn customer(headers: &HeaderMap) -> Result<u64, Fault> {
    let cookies = headers
        .get_all(COOKIE)
        .iter()
        .filter_map(|c| c.to_str().ok());
    let mut pairs = cookies.flat_map(|c| c.split(';')).map(str::trim);
    let account = pairs
        .find_map(|p| p.strip_prefix("account="))
        .ok_or_else(|| malformed("no account"))?;
    let digits = account.len() == DIGITS && account.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(account, 16)
        .ok()
        .filter(|n| digits && *n < CUSTOMERS);
    number.ok_or_else(|| malformed("the account is no customer's number"))
}

/// `units=2,spread=3,first=1`; keys not known are skipped. Guards against figures out of range in a usual
/// customer's name, from which its books would be opened.
fn weight(text: &str, names: &Names) -> Result<(f64, u32, u32), Fault> {
    let (mut units, mut spread, mut first) = (1.0, 1, 0);
    for pair in text.split(',').map(str::trim) {
        let (key, value) = pair
            .split_once('=')
            .ok_or_else(|| malformed("X-Weight is no list of pairs"))?;
        let bad = |_| malformed("X-Weight holds no number");
        match key {
            "units" => {
                units = value
                    .parse()
                    .map_err(|_| malformed("X-Weight holds no number"))?
            }
            "spread" => spread = value.parse().map_err(bad)?,
            "first" => first = value.parse().map_err(bad)?,
            _ => {}
        }
    }
    let most = if names.most_units > 0.0 {
        names.most_units
    } else {
        f64::MAX
    };
    if !(units > 0.0 && units <= most && (1..=names.fleet).contains(&spread) && first < names.fleet)
    {
        return Err(malformed("X-Weight holds a number out of range"));
    }
    Ok((units, spread, first))
}

pub fn decode_asked(parts: request::Parts, body: Bytes, names: &Names) -> Result<Asked, Fault> {
    let headers = &parts.headers;
    // Guards against a second message hidden behind a body that has two lengths. The decoder keeps one of
    // them and drops the other unseen, so a body always comes with its length here.
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(malformed("a body needs a Content-Length"));
    }
    if !(1..=MOST_ID).contains(&header(headers, "x-request-id")?.len()) {
        return Err(malformed("X-Request-ID is empty or too long"));
    }
    let millis = header(headers, "x-timeout-ms")?.parse().ok();
    let millis = millis.filter(|ms| (1..=MOST_WAIT).contains(ms));
    let millis = millis.ok_or_else(|| malformed("X-Timeout-Ms is no whole number in range"))?;
    let (units, gateways, first_gateway) = weight(header(headers, "x-weight")?, names)?;
    Ok(Asked {
        customer: customer(headers)?,
        plan: index(&names.plans, header(headers, "x-tariff")?, "X-Tariff")?,
        operation: index(
            &names.operations,
            header(headers, "x-priority-class")?,
            "X-Priority-Class",
        )?,
        units,
        first_gateway,
        gateways,
        repeat: headers.get("x-retried").is_some_and(|v| v == "1"),
        wait: f64::from(millis) / 1000.0,
        host: headers
            .get(HOST)
            .cloned()
            .unwrap_or(HeaderValue::from_static("")),
        id: headers["x-request-id"].clone(),
        token: headers.get("idempotency-key").cloned(),
        path: parts
            .uri
            .path_and_query()
            .cloned()
            .unwrap_or(PathAndQuery::from_static("/")),
        method: parts.method,
        body,
    })
}

impl Asked {
    pub fn body_len(&self) -> usize {
        self.body.len()
    }

    pub fn id(&self) -> &HeaderValue {
        &self.id
    }
}

/// One delivery; the server is told how long its answer is waited for.
pub fn encode_delivery(asked: &Asked, wait: f64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(asked.body.clone()));
    *request.method_mut() = asked.method.clone();
    *request.uri_mut() = asked.path.clone().into();
    let headers = request.headers_mut();
    headers.insert(HOST, asked.host.clone());
    headers.insert("x-request-id", asked.id.clone());
    if let Some(token) = &asked.token {
        headers.insert("idempotency-key", token.clone());
    }
    headers.insert(
        "x-timeout-ms",
        HeaderValue::from((wait * 1000.0).max(1.0) as u32),
    );
    if !asked.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(asked.body.len()));
    }
    request
}

pub fn decode_answer(head: &response::Parts, body: Bytes) -> Answered {
    let turned_away = head
        .headers
        .get("x-not-processed")
        .is_some_and(|v| v == "1");
    let ending = match head.status.as_u16() {
        200 => AttemptResult::Succeeded,
        503 | 504 if turned_away => AttemptResult::Overloaded,
        _ => AttemptResult::Error,
    };
    let used = head
        .headers
        .get("x-allowance-used")
        .and_then(|v| v.to_str().ok()?.trim().parse().ok());
    Answered {
        ending,
        used: used.filter(|u: &f64| *u >= 0.0).map(|u| u / 100.0),
        body,
    }
}

pub fn encode_reply(reply: Reply) -> Response<Full<Bytes>> {
    match reply {
        Reply::Succeeded(body) => Response::new(Full::new(body)),
        Reply::Throttled { pause } => {
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "throttled\n");
            if let (true, Ok(value)) = (pause > 0.0, HeaderValue::from_str(&format!("{pause:.3}")))
            {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Reply::Errored => plain(StatusCode::BAD_GATEWAY, "errored\n"),
    }
}

pub fn plain(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

pub fn encode_fault(fault: &Fault) -> Response<Full<Bytes>> {
    let status = StatusCode::from_u16(fault.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut response = plain(status, &format!("{fault}\n"));
    // Guards against reading on where the end of what was turned down is in doubt.
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

// ---- Discovery ----

pub fn encode_watch(revision: u64, host: SocketAddr) -> Result<Request<Full<Bytes>>, Fault> {
    let uri = format!("/api/targets?follow=1&since={revision}");
    let request = Request::builder()
        .uri(uri)
        .header(HOST, host.to_string())
        .body(Full::default());
    request.map_err(|_| malformed("no request for a watch"))
}

pub fn decode_endpoints(v: &Value, names: &Names) -> Result<News, Fault> {
    let members = v["members"]
        .as_array()
        .ok_or_else(|| malformed("the list has no members"))?;
    let member = |m: &Value| -> Result<Member, Fault> {
        let text = |key: &str| {
            m[key]
                .as_str()
                .ok_or_else(|| malformed(&format!("a member has no {key}")))
        };
        Ok(Member {
            id: text("id")?.to_owned(),
            address: text("host_port")?
                .parse()
                .map_err(|_| malformed("host_port is no address"))?,
            zone: index(&names.zones, text("locality")?, "locality")?,
            cell: m["cell"].as_u64().unwrap_or(0),
            started_at: m["up_since_ms"].as_f64().unwrap_or(0.0) / 1000.0,
            readiness: match text("phase")? {
                "Ready" => Readiness::Live,
                "Terminating" => Readiness::Draining,
                "Gone" => Readiness::Gone,
                other => return Err(malformed(&format!("phase {other} is unknown"))),
            },
        })
    };
    // One member that can't be read must not cost the news of all others.
    let known = |m: &Value| {
        member(m)
            .map_err(|fault| log::warn!("discovery: {fault}"))
            .ok()
    };
    let read: Vec<Member> = members.iter().filter_map(known).collect();
    Ok(News {
        whole: read.len() == members.len(),
        revision: v["revision"]
            .as_u64()
            .ok_or_else(|| malformed("the list has no revision"))?,
        complete: v["complete"].as_bool().unwrap_or(false),
        members: read,
    })
}

/// The lines of a watch as they come in. A list stands on one line, or on several where it is indented.
#[derive(Default)]
pub struct Lines {
    buffer: BytesMut,
    /// Bytes at the front that were looked at; how deep in brackets they end, and whether in a text.
    seen: usize,
    depth: usize,
    text: bool,
    escaped: bool,
    /// The line that `seen` stands in has something on it.
    filled: bool,
}

impl Lines {
    pub fn add(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next list once it is whole; nothing in it where an empty line says that nothing changed.
    pub fn take(&mut self) -> Result<Option<Option<Value>>, Fault> {
        while let Some(&byte) = self.buffer.get(self.seen) {
            self.seen += 1;
            match byte {
                b'\n' if self.text || (self.depth > 0 && !self.filled) => {
                    return Err(malformed("a list that breaks off"));
                }
                b'\n' if self.depth > 0 => self.filled = false,
                b'\n' => {
                    let line = self.buffer.split_to(std::mem::take(&mut self.seen));
                    return match std::mem::take(&mut self.filled) {
                        true => serde_json::from_slice(&line).map(|v| Some(Some(v))),
                        false => Ok(Some(None)),
                    }
                    .map_err(|e| Fault::Malformed(e.to_string()));
                }
                _ => {
                    self.filled |= !byte.is_ascii_whitespace();
                    match byte {
                        _ if self.escaped => self.escaped = false,
                        b'\\' if self.text => self.escaped = true,
                        b'"' => self.text = !self.text,
                        b'{' | b'[' if !self.text => self.depth += 1,
                        b'}' | b']' if !self.text => self.depth = self.depth.saturating_sub(1),
                        _ => {}
                    }
                }
            }
        }
        if self.buffer.len() > MOST_LINE {
            return Err(Fault::TooLarge);
        }
        Ok(None)
    }
}

// ---- The counter ----

pub fn encode_count(name: u64, add: f64, life: f64) -> Bytes {
    let parts = [
        "CNT.ADD".to_owned(),
        name.to_string(),
        format!("{add:.6}"),
        format!("{:.0}", life * 1000.0),
    ];
    let mut call = format!("*{}\r\n", parts.len());
    for part in parts {
        call.push_str(&format!("${}\r\n{part}\r\n", part.len()));
    }
    call.into()
}

/// Takes one answer of the counter off the buffer, None until it is whole.
pub fn take_counted(buffer: &mut BytesMut) -> Result<Option<CounterReply>, Fault> {
    let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") else {
        return if buffer.len() > MOST_BODY {
            Err(Fault::TooLarge)
        } else {
            Ok(None)
        };
    };
    let line = std::str::from_utf8(&buffer[1..end.max(1)])
        .map_err(|_| malformed("the counter's answer"))?;
    match buffer.first() {
        // An error's wording is free: whichever it is, nothing was added.
        Some(b'-') => {
            buffer.advance(end + 2);
            Ok(Some(CounterReply::Refused))
        }
        Some(b'$') => {
            let len: usize = line
                .parse()
                .map_err(|_| malformed("the counter's answer has no length"))?;
            if len > MOST_BODY {
                return Err(Fault::TooLarge);
            }
            let whole = end + 2 + len + 2;
            if buffer.len() < whole {
                return Ok(None);
            }
            let total = std::str::from_utf8(&buffer[end + 2..end + 2 + len]).ok();
            let total = total
                .and_then(|t| t.parse().ok())
                .filter(|t: &f64| t.is_finite());
            buffer.advance(whole);
            total
                .map(|t| Some(CounterReply::Total(t)))
                .ok_or_else(|| malformed("the counter's total"))
        }
        _ => Err(malformed("the counter's answer is of no known kind")),
    }
}
