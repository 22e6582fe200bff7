//! Encodes and decodes the messages of the client, server, discovery and counter protocols. Owns the header names,
//! the JSON fields and the counter's wire format. It does no I/O and applies no policy to requests.

use crate::error::GatewayError;
use bytes::{Buf, Bytes, BytesMut};
use dunespur_decisions::types::{AttemptResult, CounterReply, Readiness};
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::header::{CONNECTION, CONTENT_LENGTH, COOKIE, HOST, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::{request, response, uri::PathAndQuery};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::Value;
use std::net::SocketAddr;

/// Largest body of a request or response, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Customer numbers are below this limit.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Number of hexadecimal digits of a customer number.
const CUSTOMER_DIGITS: usize = 16;
/// Longest request id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Longest time that a client may wait, in milliseconds.
const MAX_TIMEOUT_MS: u32 = 60_000;
/// Longest list that discovery may send, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;
pub const READY_PATH: &str = "/-/ready";

/// The names from the settings, in the order of their indices, and the limits on client requests.
pub struct ConfiguredNames {
    pub plans: Vec<String>,
    pub operations: Vec<String>,
    pub zones: Vec<String>,
    pub fleet_size: u32,
    pub max_units: f64,
}

/// A decoded request of a client.
#[derive(Debug)]
pub struct ClientRequest {
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
    /// The client marked the request as a repetition.
    pub repeat: bool,
    /// Seconds that the client waits for the response.
    pub timeout: f64,
}

/// The result of an invocation, as sent to its client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientResponse {
    Succeeded(Bytes),
    Throttled { pause: f64 },
    Errored,
}

/// The outcome of an attempt, with what the server responded.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerResponse {
    pub result: AttemptResult,
    pub usage: Option<f64>,
    pub body: Bytes,
}

impl ServerResponse {
    /// The outcome of an attempt that got no response.
    pub fn without_response(result: AttemptResult) -> Self {
        ServerResponse {
            result,
            usage: None,
            body: Bytes::new(),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub id: String,
    pub address: SocketAddr,
    pub zone: usize,
    pub cell: u64,
    pub started_at: f64,
    pub readiness: Readiness,
}

/// An endpoint list from discovery: complete, or only the changed endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    pub revision: u64,
    pub complete: bool,
    pub endpoints: Vec<Endpoint>,
    /// Every endpoint of the message could be decoded.
    pub all_decoded: bool,
}

fn malformed(reason: &str) -> GatewayError {
    GatewayError::Malformed(reason.to_owned())
}

/// Returns the value of a header that occurs once. A repeated header is rejected, because two readers might take
/// different values.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, GatewayError> {
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

fn index_of(names: &[String], name: &str, field: &str) -> Result<usize, GatewayError> {
    names
        .iter()
        .position(|n| n == name)
        .ok_or_else(|| malformed(&format!("{field} is not in the settings")))
}

fn decode_customer(headers: &HeaderMap) -> Result<u64, GatewayError> {
    let cookies = headers
        .get_all(COOKIE)
        .iter()
        .filter_map(|c| c.to_str().ok());
    let mut pairs = cookies.flat_map(|c| c.split(';')).map(str::trim);
    let account = pairs
        .find_map(|p| p.strip_prefix("account="))
        .ok_or_else(|| malformed("no account"))?;
    let well_formed =
        account.len() == CUSTOMER_DIGITS && account.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(account, 16)
        .ok()
        .filter(|n| well_formed && *n < CUSTOMER_LIMIT);
    number.ok_or_else(|| malformed("the account is no customer's number"))
}

/// Decodes a weight such as `units=2,spread=3,first=1` and skips unknown keys. Values out of range are rejected
/// before an account is created from them.
fn decode_weight(text: &str, names: &ConfiguredNames) -> Result<(f64, u32, u32), GatewayError> {
    let (mut units, mut gateways, mut first_gateway) = (1.0, 1, 0);
    for pair in text.split(',').map(str::trim) {
        let (key, value) = pair
            .split_once('=')
            .ok_or_else(|| malformed("X-Weight is no list of pairs"))?;
        let not_a_number = |_| malformed("X-Weight holds no number");
        match key {
            "units" => {
                units = value
                    .parse()
                    .map_err(|_| malformed("X-Weight holds no number"))?
            }
            "spread" => gateways = value.parse().map_err(not_a_number)?,
            "first" => first_gateway = value.parse().map_err(not_a_number)?,
            _ => {}
        }
    }
    let max_units = if names.max_units > 0.0 {
        names.max_units
    } else {
        f64::MAX
    };
    if !(units > 0.0
        && units <= max_units
        && (1..=names.fleet_size).contains(&gateways)
        && first_gateway < names.fleet_size)
    {
        return Err(malformed("X-Weight holds a number out of range"));
    }
    Ok((units, gateways, first_gateway))
}

pub fn decode_request(
    parts: request::Parts,
    body: Bytes,
    names: &ConfiguredNames,
) -> Result<ClientRequest, GatewayError> {
    let headers = &parts.headers;
    // Prevents request smuggling through a body with two lengths: the HTTP decoder keeps one length and silently
    // drops the other, so only `Content-Length` is accepted.
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(malformed("a body needs a Content-Length"));
    }
    if !(1..=MAX_ID_BYTES).contains(&header(headers, "x-request-id")?.len()) {
        return Err(malformed("X-Request-ID is empty or too long"));
    }
    let timeout_ms = header(headers, "x-timeout-ms")?.parse().ok();
    let timeout_ms = timeout_ms.filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
    let timeout_ms =
        timeout_ms.ok_or_else(|| malformed("X-Timeout-Ms is no whole number in range"))?;
    let (units, gateways, first_gateway) = decode_weight(header(headers, "x-weight")?, names)?;
    Ok(ClientRequest {
        customer: decode_customer(headers)?,
        plan: index_of(&names.plans, header(headers, "x-tariff")?, "X-Tariff")?,
        operation: index_of(
            &names.operations,
            header(headers, "x-priority-class")?,
            "X-Priority-Class",
        )?,
        units,
        first_gateway,
        gateways,
        repeat: headers.get("x-retried").is_some_and(|v| v == "1"),
        timeout: f64::from(timeout_ms) / 1000.0,
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

impl ClientRequest {
    pub fn body_len(&self) -> usize {
        self.body.len()
    }

    pub fn id(&self) -> &HeaderValue {
        &self.id
    }
}

/// Encodes the request of one attempt; the server receives the time that is left for its response.
pub fn encode_server_request(request: &ClientRequest, timeout: f64) -> Request<Full<Bytes>> {
    let mut encoded = Request::new(Full::new(request.body.clone()));
    *encoded.method_mut() = request.method.clone();
    *encoded.uri_mut() = request.path.clone().into();
    let headers = encoded.headers_mut();
    headers.insert(HOST, request.host.clone());
    headers.insert("x-request-id", request.id.clone());
    if let Some(token) = &request.token {
        headers.insert("idempotency-key", token.clone());
    }
    headers.insert(
        "x-timeout-ms",
        HeaderValue::from((timeout * 1000.0).max(1.0) as u32),
    );
    if !request.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    encoded
}

pub fn decode_response(head: &response::Parts, body: Bytes) -> ServerResponse {
    let not_processed = head
        .headers
        .get("x-not-processed")
        .is_some_and(|v| v == "1");
    let result = match head.status.as_u16() {
        200 => AttemptResult::Succeeded,
        503 | 504 if not_processed => AttemptResult::Overloaded,
        _ => AttemptResult::Error,
    };
    let usage = head
        .headers
        .get("x-allowance-used")
        .and_then(|value| value.to_str().ok()?.trim().parse().ok());
    ServerResponse {
        result,
        usage: usage
            .filter(|percent: &f64| *percent >= 0.0)
            .map(|percent| percent / 100.0),
        body,
    }
}

pub fn encode_response(response: ClientResponse) -> Response<Full<Bytes>> {
    match response {
        ClientResponse::Succeeded(body) => Response::new(Full::new(body)),
        ClientResponse::Throttled { pause } => {
            let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "throttled\n");
            if let (true, Ok(value)) = (pause > 0.0, HeaderValue::from_str(&format!("{pause:.3}")))
            {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        ClientResponse::Errored => text_response(StatusCode::BAD_GATEWAY, "errored\n"),
    }
}

pub fn text_response(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

pub fn encode_error(error: &GatewayError) -> Response<Full<Bytes>> {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut response = text_response(status, &format!("{error}\n"));
    // Closes the connection, since the end of the rejected message is uncertain.
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

// ---- Discovery ----

pub fn encode_watch(revision: u64, host: SocketAddr) -> Result<Request<Full<Bytes>>, GatewayError> {
    let uri = format!("/api/targets?follow=1&since={revision}");
    let request = Request::builder()
        .uri(uri)
        .header(HOST, host.to_string())
        .body(Full::default());
    request.map_err(|_| malformed("the watch request cannot be encoded"))
}

pub fn decode_endpoints(
    list: &Value,
    names: &ConfiguredNames,
) -> Result<EndpointUpdate, GatewayError> {
    let members = list["members"]
        .as_array()
        .ok_or_else(|| malformed("the list has no members"))?;
    let decode = |member: &Value| -> Result<Endpoint, GatewayError> {
        let text = |key: &str| {
            member[key]
                .as_str()
                .ok_or_else(|| malformed(&format!("a member has no {key}")))
        };
        Ok(Endpoint {
            id: text("id")?.to_owned(),
            address: text("host_port")?
                .parse()
                .map_err(|_| malformed("host_port is no address"))?,
            zone: index_of(&names.zones, text("locality")?, "locality")?,
            cell: member["cell"].as_u64().unwrap_or(0),
            started_at: member["up_since_ms"].as_f64().unwrap_or(0.0) / 1000.0,
            readiness: match text("phase")? {
                "Ready" => Readiness::Live,
                "Terminating" => Readiness::Draining,
                "Gone" => Readiness::Gone,
                other => return Err(malformed(&format!("phase {other} is unknown"))),
            },
        })
    };
    // An endpoint that cannot be decoded must not hide the others.
    let decode_or_log = |member: &Value| {
        decode(member)
            .map_err(|error| log::warn!("discovery: endpoint ignored: {error}"))
            .ok()
    };
    let decoded: Vec<Endpoint> = members.iter().filter_map(decode_or_log).collect();
    Ok(EndpointUpdate {
        all_decoded: decoded.len() == members.len(),
        revision: list["revision"]
            .as_u64()
            .ok_or_else(|| malformed("the list has no revision"))?,
        complete: list["complete"].as_bool().unwrap_or(false),
        endpoints: decoded,
    })
}

/// Splits the stream of a watch into lists. A list occupies one line, or several if it is indented.
#[derive(Default)]
pub struct WatchLines {
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that have been scanned.
    scanned: usize,
    /// Nesting depth in brackets after the scanned bytes.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// The current line has a non-whitespace character.
    line_has_text: bool,
}

impl WatchLines {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next list once it is complete, or `Some(None)` for an empty line, which means that nothing
    /// changed.
    pub fn next_list(&mut self) -> Result<Option<Option<Value>>, GatewayError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            match byte {
                b'\n' if self.in_string || (self.depth > 0 && !self.line_has_text) => {
                    return Err(malformed("the list ends in the middle of a value"));
                }
                b'\n' if self.depth > 0 => self.line_has_text = false,
                b'\n' => {
                    let line = self.buffer.split_to(std::mem::take(&mut self.scanned));
                    return match std::mem::take(&mut self.line_has_text) {
                        true => serde_json::from_slice(&line).map(|v| Some(Some(v))),
                        false => Ok(Some(None)),
                    }
                    .map_err(|e| GatewayError::Malformed(e.to_string()));
                }
                _ => {
                    self.line_has_text |= !byte.is_ascii_whitespace();
                    match byte {
                        _ if self.escaped => self.escaped = false,
                        b'\\' if self.in_string => self.escaped = true,
                        b'"' => self.in_string = !self.in_string,
                        b'{' | b'[' if !self.in_string => self.depth += 1,
                        b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
                        _ => {}
                    }
                }
            }
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(GatewayError::TooLarge);
        }
        Ok(None)
    }
}

// ---- Counter ----

pub fn encode_counter_call(name: u64, add: f64, lifetime: f64) -> Bytes {
    let parts = [
        "CNT.ADD".to_owned(),
        name.to_string(),
        format!("{add:.6}"),
        format!("{:.0}", lifetime * 1000.0),
    ];
    let mut call = format!("*{}\r\n", parts.len());
    for part in parts {
        call.push_str(&format!("${}\r\n{part}\r\n", part.len()));
    }
    call.into()
}

/// Decodes one reply of the counter and removes it from the buffer; `None` until it is complete.
pub fn decode_counter_reply(buffer: &mut BytesMut) -> Result<Option<CounterReply>, GatewayError> {
    let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") else {
        return if buffer.len() > MAX_BODY_BYTES {
            Err(GatewayError::TooLarge)
        } else {
            Ok(None)
        };
    };
    let line = std::str::from_utf8(&buffer[1..end.max(1)])
        .map_err(|_| malformed("the reply of the counter is not UTF-8"))?;
    match buffer.first() {
        // Any error reply means that nothing was added.
        Some(b'-') => {
            buffer.advance(end + 2);
            Ok(Some(CounterReply::Refused))
        }
        Some(b'$') => {
            // `usize::from_str` also accepts a sign.
            let digits = line.bytes().all(|byte| byte.is_ascii_digit());
            let len: usize = line
                .parse()
                .ok()
                .filter(|_| digits)
                .ok_or_else(|| malformed("the reply of the counter has no length"))?;
            if len > MAX_BODY_BYTES {
                return Err(GatewayError::TooLarge);
            }
            let text_end = end + 2 + len;
            let reply_len = text_end + 2;
            if buffer.len() < reply_len {
                return Ok(None);
            }
            if buffer[text_end..reply_len] != *b"\r\n" {
                return Err(malformed("the reply of the counter has another length"));
            }
            let total = std::str::from_utf8(&buffer[end + 2..text_end]).ok();
            let total = total
                .and_then(|t| t.parse().ok())
                .filter(|total: &f64| total.is_finite());
            buffer.advance(reply_len);
            total.map(|t| Some(CounterReply::Total(t))).ok_or_else(|| {
                malformed("the total in the reply of the counter is not a finite number")
            })
        }
        _ => Err(malformed(
            "the reply of the counter is neither a string nor an error",
        )),
    }
}

#[cfg(test)]
mod tests;
