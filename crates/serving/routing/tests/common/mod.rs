//! Servers and requests for the tests.
// Each test file is a separate crate that uses only some of these.
#![allow(dead_code)]

pub mod digest;

use dunespur_routing::{EngineParameters, PromptSegment, RoutingRequest, Server};

pub const ENGINES: &str = "engines";
pub const PLAIN: &str = "plain";

pub fn engine_server(number: usize, zone: &str) -> Server {
    let parameters = EngineParameters {
        kv_capacity: 220_000,
        slots: 24,
        chunk_tokens: 3,
    };
    Server {
        engine: Some(parameters),
        slots: 24,
        ..server(ENGINES, number, zone)
    }
}

pub fn plain_server(number: usize, zone: &str) -> Server {
    server(PLAIN, number, zone)
}

fn server(backend: &str, number: usize, zone: &str) -> Server {
    Server {
        id: format!("{backend}-{number}").into(),
        backend: backend.into(),
        address: ([10, 0, 0, number as u8], 8080).into(),
        zone: zone.into(),
        slots: 6,
        draining: false,
        warmup_left_ms: 0,
        engine: None,
        max_conns: 120,
    }
}

pub fn plain_request() -> RoutingRequest<'static> {
    RoutingRequest {
        backend: PLAIN,
        program: None,
        session: None,
        prefix: &[],
        prompt_tokens: 0,
        max_tokens: 0,
        idempotent: true,
        priority: 1,
        time_left_ms: 2_000,
        target_ms: 150,
        tried: &[],
    }
}

pub fn engine_request<'a>(program: &'a str, prefix: &'a [PromptSegment]) -> RoutingRequest<'a> {
    RoutingRequest {
        backend: ENGINES,
        program: Some(program),
        session: Some("session"),
        prefix,
        prompt_tokens: prefix.iter().map(|segment| segment.tokens).sum(),
        max_tokens: 40,
        idempotent: false,
        priority: 0,
        time_left_ms: 5_000,
        target_ms: 200,
        tried: &[],
    }
}
