//! The operator: sends changes of the configuration until each has a clear answer.

use crate::http;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Sends one order to one machine after another until it is acknowledged. Returns whether it was, and how long it took.
pub fn order(
    controls: &[SocketAddr],
    path: &str,
    base: Option<u64>,
    body: &str,
    limit: Duration,
    record: &Record,
) -> Option<Duration> {
    let started = Instant::now();
    let mut headers = vec![("Content-Type", "application/json".to_owned())];
    if let Some(base) = base {
        headers.push(("X-Dunespur-Base-Version", base.to_string()));
    }
    let mut turn = 0;
    while started.elapsed() < limit {
        let address = controls[turn % controls.len()];
        turn += 1;
        let timeout = Duration::from_millis(if body.len() > 65_536 { 2_000 } else { 1_000 });
        let answer = http::call(
            address,
            "POST",
            path,
            "control",
            &headers,
            body.as_bytes(),
            timeout,
        );
        match answer {
            Ok(answer) if answer.head.status() == 200 => return Some(started.elapsed()),
            Ok(answer) if matches!(answer.head.status(), 400 | 409 | 412 | 413 | 422) => {
                record.line(&format!(
                    "operator: {path} on {base:?} refused: {} {}",
                    answer.head.first_line,
                    String::from_utf8_lossy(&answer.body)
                ));
                return None;
            }
            _ => std::thread::sleep(Duration::from_millis(100)),
        }
    }
    record.line(&format!(
        "operator: {path} on {base:?} got no acknowledgement"
    ));
    None
}
