//! Parses a configuration from JSON into typed content.
//!
//! The parser replaces invalid values by defaults and continues, so that all findings are reported at once, in the
//! order in which the fields are parsed.

use crate::{
    draft::Draft,
    fields::{ceil_saturating, Fields},
    location::Location,
    model::{
        ConfigurationContent, Engine, Limits, RequestKind, Route, RouteWithMatch, Service,
        WeightedBackend,
    },
    validation, Findings,
};
use serde_json::Value;

/// The default priority of a route: the middle of 0 to 9.
const DEFAULT_PRIORITY: u8 = 5;
/// The default maximum number of servers for one request: no failover.
const DEFAULT_RETRIES: u32 = 1;
/// The default retention time of a route's turns.
const DEFAULT_RETENTION_MS: u64 = 60_000;
/// The default path of health checks.
const DEFAULT_HEALTH_PATH: &str = "/healthz";
/// The default maximum number of connections of a server.
const DEFAULT_MAX_CONNS: u32 = 100;
/// The factor by which all weights of a route are multiplied, before rounding up, if one of them is a fraction.
const FRACTIONAL_WEIGHT_SCALE: f64 = 1_000_000.0;
/// The maximum weight of a service, low enough that the sum over a route's services never overflows.
const MAX_WEIGHT: u64 = 1 << 50;

/// Parses and validates the text of a configuration.
pub(crate) fn validate(text: &str) -> Result<ConfigurationContent, Findings> {
    let ParsedDraft {
        draft,
        mut findings,
    } = parse_draft(text)?;
    validation::validate(&draft, &mut findings);
    findings.or_ok(())?;
    Ok(draft.into_content())
}

/// Parses the text of a configuration that was valid when it was accepted. Values that an older version of this program
/// accepted and this version would reject are ignored.
pub(crate) fn parse_accepted(text: &str) -> Result<ConfigurationContent, Findings> {
    Ok(parse_draft(text)?.draft.into_content())
}

/// The parsed parts of a configuration, and the findings about the rest.
struct ParsedDraft {
    draft: Draft,
    findings: Findings,
}

fn parse_draft(text: &str) -> Result<ParsedDraft, Findings> {
    let value = parse_json(text)?;
    let mut findings = Findings::default();
    let draft = configuration(&value, &mut findings);
    Ok(ParsedDraft { draft, findings })
}

fn parse_json(text: &str) -> Result<Value, Findings> {
    serde_json::from_str(text)
        .map_err(|error| Findings::one(Location::Top, format!("can't be read: {error}")))
}

fn configuration(value: &Value, findings: &mut Findings) -> Draft {
    let Some(fields) = Fields::of(value, &Location::Top, findings) else {
        return Draft::default();
    };
    Draft {
        generation: generation(&fields, findings),
        routes: items(&fields, "routes", findings, route),
        services: items(&fields, "services", findings, service),
        limits: limits(&fields, findings),
    }
}

fn generation(fields: &Fields<'_>, findings: &mut Findings) -> u64 {
    fields
        .required_exact_integer("generation", findings)
        .unwrap_or_default()
}

/// Parses each object of the array in the field `name`.
fn items<T>(
    fields: &Fields<'_>,
    name: &str,
    findings: &mut Findings,
    parse: fn(&Fields<'_>, &mut Findings) -> T,
) -> Vec<Option<T>> {
    let array = fields.location().field(name);
    let mut all = Vec::new();
    for (index, item) in fields.array(name, findings).iter().enumerate() {
        let location = array.item(index);
        let item = Fields::of(item, &location, findings);
        all.push(item.map(|item| parse(&item, findings)));
    }
    all
}

fn route(fields: &Fields<'_>, findings: &mut Findings) -> RouteWithMatch {
    let host = fields.required_string("host", findings).unwrap_or_default();
    let path_prefix = fields
        .required_string("path_prefix", findings)
        .unwrap_or_default();
    RouteWithMatch {
        host: host.to_ascii_lowercase(),
        path_prefix: path_prefix.to_owned(),
        route: Route {
            name: fields
                .required_string("name", findings)
                .unwrap_or_default()
                .to_owned(),
            kind: kind(fields, findings),
            timeout_ms: timeout_ms(fields, findings),
            target_ms: target_ms(fields, findings),
            gap_target_ms: fields.integer("gap_aim_ms", findings),
            priority: priority(fields, findings),
            retries: fields.count("retries", findings).unwrap_or(DEFAULT_RETRIES),
            persisted: fields.boolean("persisted", findings),
            retention_ms: fields
                .seconds_as_ms("retention_s", findings)
                .unwrap_or(DEFAULT_RETENTION_MS),
            sticky: fields.boolean("sticky", findings),
            resumable: fields.boolean("resumable", findings),
            backends: backends(fields, findings),
        },
    }
}

fn kind(fields: &Fields<'_>, findings: &mut Findings) -> RequestKind {
    match fields.required_string("kind", findings) {
        Some("read_only") => RequestKind::ReadOnly,
        Some("mutating") | None => RequestKind::Mutating,
        Some("streaming") => RequestKind::Streaming,
        Some(other) => {
            findings.add(
                fields.location().field("kind"),
                format!("{other:?} is not a kind of request"),
            );
            RequestKind::Mutating
        }
    }
}

fn timeout_ms(fields: &Fields<'_>, findings: &mut Findings) -> u64 {
    let timeout_ms = fields.required_integer("timeout_ms", findings);
    if timeout_ms == Some(0) {
        findings.add(fields.location().field("timeout_ms"), "is 0");
    }
    timeout_ms.unwrap_or_default()
}

/// The latency target of a route, by default its timeout.
fn target_ms(fields: &Fields<'_>, findings: &mut Findings) -> u64 {
    let target_ms = fields.integer("target_ms", findings);
    target_ms
        .or_else(|| fields.integer("timeout_ms", &mut Findings::default()))
        .unwrap_or_default()
}

fn priority(fields: &Fields<'_>, findings: &mut Findings) -> u8 {
    let priority = fields
        .integer("priority", findings)
        .unwrap_or(u64::from(DEFAULT_PRIORITY));
    u8::try_from(priority).unwrap_or(u8::MAX)
}

/// The services of a route: those in `backends`, or the one in `backend` if `backends` is empty.
fn backends(fields: &Fields<'_>, findings: &mut Findings) -> Vec<WeightedBackend> {
    let configured: Vec<_> = items(fields, "backends", findings, configured_backend)
        .into_iter()
        .flatten()
        .collect();
    if !configured.is_empty() {
        validate_weights(&configured, fields, findings);
        return integer_weights(configured);
    }
    if fields.value("backends").is_some() && fields.value("backend").is_none() {
        findings.add(fields.location().field("backends"), "names no service");
        return Vec::new();
    }
    match fields.required_string("backend", findings) {
        Some(backend) => vec![WeightedBackend {
            backend: backend.to_owned(),
            weight: 1,
        }],
        None => Vec::new(),
    }
}

/// A service with its weight as the operator configured it.
struct ConfiguredBackend {
    backend: String,
    weight: f64,
}

fn configured_backend(fields: &Fields<'_>, findings: &mut Findings) -> ConfiguredBackend {
    let backend = fields
        .required_string("backend", findings)
        .unwrap_or_default();
    let weight = fields.number("weight", findings);
    ConfiguredBackend {
        backend: backend.to_owned(),
        weight: weight.unwrap_or(1.0),
    }
}

fn validate_weights(
    configured: &[ConfiguredBackend],
    fields: &Fields<'_>,
    findings: &mut Findings,
) {
    if configured.iter().all(|configured| configured.weight == 0.0) {
        findings.add(
            fields.location().field("backends"),
            "the weights add up to 0",
        );
    }
}

/// Converts weights to integers. If a weight is a fraction, all weights of the route are scaled.
fn integer_weights(configured: Vec<ConfiguredBackend>) -> Vec<WeightedBackend> {
    let all_integers = configured
        .iter()
        .all(|configured| configured.weight.fract() == 0.0);
    let scale = if all_integers {
        1.0
    } else {
        FRACTIONAL_WEIGHT_SCALE
    };
    let scaled = |configured: ConfiguredBackend| WeightedBackend {
        backend: configured.backend,
        // Rounded up, so that a weight above 0 never becomes 0.
        weight: ceil_saturating(configured.weight * scale).min(MAX_WEIGHT),
    };
    configured.into_iter().map(scaled).collect()
}

fn service(fields: &Fields<'_>, findings: &mut Findings) -> Service {
    Service {
        name: fields
            .required_string("name", findings)
            .unwrap_or_default()
            .to_owned(),
        health_path: fields
            .string("health_path", findings)
            .unwrap_or(DEFAULT_HEALTH_PATH)
            .to_owned(),
        max_conns: fields
            .count("max_conns", findings)
            .unwrap_or(DEFAULT_MAX_CONNS),
        engine: object(fields, "engine", findings, engine),
    }
}

fn engine(fields: &Fields<'_>, findings: &mut Findings) -> Engine {
    Engine {
        slots: fields.count("slots", findings).unwrap_or_default(),
        kv_capacity: fields.integer("kv_capacity", findings).unwrap_or_default(),
        kv_token_bytes: fields
            .integer("kv_token_bytes", findings)
            .unwrap_or_default(),
        link_mbps: fields.number("link_mbps", findings).unwrap_or_default(),
        chunk_tokens: fields
            .count("chunk_tokens", findings)
            .unwrap_or_default()
            .max(1),
        models: items(fields, "models", findings, model_name)
            .into_iter()
            .flatten()
            .collect(),
    }
}

fn model_name(fields: &Fields<'_>, findings: &mut Findings) -> String {
    fields
        .string("name", findings)
        .unwrap_or_default()
        .to_owned()
}

fn limits(fields: &Fields<'_>, findings: &mut Findings) -> Limits {
    object(fields, "limits", findings, limits_object).unwrap_or_default()
}

fn limits_object(fields: &Fields<'_>, findings: &mut Findings) -> Limits {
    let default = Limits::DEFAULT;
    let bytes = |name: &str, findings: &mut Findings| {
        let bytes = fields.integer(name, findings)?;
        Some(usize::try_from(bytes).unwrap_or(usize::MAX))
    };
    Limits {
        max_header_bytes: bytes("max_header_bytes", findings).unwrap_or(default.max_header_bytes),
        max_body_bytes: bytes("max_body_bytes", findings).unwrap_or(default.max_body_bytes),
        header_timeout_ms: fields
            .integer("header_timeout_ms", findings)
            .unwrap_or(default.header_timeout_ms),
        idle_timeout_ms: fields
            .integer("idle_timeout_ms", findings)
            .unwrap_or(default.idle_timeout_ms),
    }
}

/// Parses the optional object in the field `name`.
fn object<T>(
    fields: &Fields<'_>,
    name: &str,
    findings: &mut Findings,
    parse: fn(&Fields<'_>, &mut Findings) -> T,
) -> Option<T> {
    let value = fields.value(name)?;
    let location = fields.location().field(name);
    let fields = Fields::of(value, &location, findings)?;
    Some(parse(&fields, findings))
}
