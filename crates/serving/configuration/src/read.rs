//! Reads a configuration from JSON into its typed model.
//!
//! Reading goes on past what is wrong, with a stand-in for it, so that all findings come at once.

use crate::{
    check,
    fields::Fields,
    model::{Engine, Kind, Limits, Model, PlacedRoute, Route, Service, WeightedBackend},
    place::Place,
    Findings,
};
use serde_json::Value;

/// The rank of a route that gives none: the middle of 0 to 9.
const DEFAULT_PRIORITY: u8 = 5;
/// The most servers for one try where a route gives no number: no second one.
const DEFAULT_RETRIES: u32 = 1;
/// How long turns are kept where a route gives no time.
const DEFAULT_RETENTION_MS: u64 = 60_000;
/// Where servers are asked for their health when a service gives no path.
const DEFAULT_HEALTH_PATH: &str = "/healthz";
/// How many connections a server accepts where its service gives no number.
const DEFAULT_MAX_CONNS: u32 = 100;
/// How finely fractional weights are told apart.
const WEIGHT_PARTS: f64 = 1_000_000.0;
/// The largest weight, in parts: the sum over a route's services never overflows.
const MAX_WEIGHT: u64 = 1 << 50;

/// What was read, with gaps where an item was no object, so that items keep their positions.
#[derive(Default)]
pub(crate) struct Draft {
    pub(crate) generation: u64,
    pub(crate) routes: Vec<Option<PlacedRoute>>,
    pub(crate) services: Vec<Option<Service>>,
    pub(crate) limits: Limits,
}

impl Draft {
    /// The model of what can be used.
    fn finish(self) -> Model {
        Model {
            generation: self.generation,
            routes: self
                .routes
                .into_iter()
                .flatten()
                .filter(is_usable)
                .collect(),
            services: self.services.into_iter().flatten().collect(),
            limits: self.limits,
        }
    }
}

fn is_usable(placed: &PlacedRoute) -> bool {
    placed.route.timeout_ms > 0
        && placed
            .route
            .backends
            .iter()
            .any(|backend| backend.weight > 0)
}

/// Reads and checks the text of a configuration: its generation, if nothing is wrong.
pub(crate) fn checked(text: &str) -> Result<u64, Findings> {
    let (draft, mut findings) = draft(text)?;
    check::draft(&draft, &mut findings);
    findings.or_ok(draft.generation)
}

/// Reads the text of a configuration that was checked when it was taken. What an older version of this
/// program took and this one wouldn't is left out instead of refused.
pub(crate) fn taken(text: &str) -> Result<Model, Findings> {
    let (draft, _) = draft(text)?;
    Ok(draft.finish())
}

fn draft(text: &str) -> Result<(Draft, Findings), Findings> {
    let value = parse(text)?;
    let mut findings = Findings::default();
    let draft = configuration(&value, &mut findings);
    Ok((draft, findings))
}

fn parse(text: &str) -> Result<Value, Findings> {
    serde_json::from_str(text)
        .map_err(|error| Findings::one(Place::Top, format!("can't be read: {error}")))
}

fn configuration(value: &Value, findings: &mut Findings) -> Draft {
    let Some(fields) = Fields::of(value, &Place::Top, findings) else {
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
        .needed_exact("generation", findings)
        .unwrap_or_default()
}

/// Reads each object of the list at `list`.
fn items<T>(
    fields: &Fields<'_>,
    name: &str,
    findings: &mut Findings,
    read: fn(&Fields<'_>, &mut Findings) -> T,
) -> Vec<Option<T>> {
    let list = fields.place().field(name);
    let mut all = Vec::new();
    for (index, item) in fields.list(name, findings).iter().enumerate() {
        let place = list.item(index);
        let item = Fields::of(item, &place, findings);
        all.push(item.map(|item| read(&item, findings)));
    }
    all
}

fn route(fields: &Fields<'_>, findings: &mut Findings) -> PlacedRoute {
    let host = fields.needed_text("host", findings).unwrap_or_default();
    let path_prefix = fields
        .needed_text("path_prefix", findings)
        .unwrap_or_default();
    PlacedRoute {
        host: host.to_ascii_lowercase(),
        path_prefix: path_prefix.to_owned(),
        route: Route {
            name: fields
                .needed_text("name", findings)
                .unwrap_or_default()
                .to_owned(),
            kind: kind(fields, findings),
            timeout_ms: timeout_ms(fields, findings),
            target_ms: target_ms(fields, findings),
            gap_aim_ms: fields.whole("gap_aim_ms", findings),
            priority: priority(fields, findings),
            retries: fields.count("retries", findings).unwrap_or(DEFAULT_RETRIES),
            persisted: fields.flag("persisted", findings),
            retention_ms: fields
                .seconds_as_ms("retention_s", findings)
                .unwrap_or(DEFAULT_RETENTION_MS),
            sticky: fields.flag("sticky", findings),
            resumable: fields.flag("resumable", findings),
            backends: backends(fields, findings),
        },
    }
}

fn kind(fields: &Fields<'_>, findings: &mut Findings) -> Kind {
    match fields.needed_text("kind", findings) {
        Some("read_only") => Kind::ReadOnly,
        Some("mutating") | None => Kind::Mutating,
        Some("streaming") => Kind::Streaming,
        Some(other) => {
            findings.add(
                fields.place().field("kind"),
                format!("{other:?} is not a kind of request"),
            );
            Kind::Mutating
        }
    }
}

fn timeout_ms(fields: &Fields<'_>, findings: &mut Findings) -> u64 {
    let timeout_ms = fields.needed_whole("timeout_ms", findings);
    if timeout_ms == Some(0) {
        findings.add(fields.place().field("timeout_ms"), "is 0");
    }
    timeout_ms.unwrap_or_default()
}

/// Without an objective of its own a route's answers are in time while they may be held.
fn target_ms(fields: &Fields<'_>, findings: &mut Findings) -> u64 {
    let target_ms = fields.whole("target_ms", findings);
    target_ms
        .or_else(|| fields.whole("timeout_ms", &mut Findings::default()))
        .unwrap_or_default()
}

fn priority(fields: &Fields<'_>, findings: &mut Findings) -> u8 {
    let priority = fields
        .whole("priority", findings)
        .unwrap_or(u64::from(DEFAULT_PRIORITY));
    u8::try_from(priority).unwrap_or(u8::MAX)
}

/// The services of a route: `backends` where it holds some, else `backend`.
fn backends(fields: &Fields<'_>, findings: &mut Findings) -> Vec<WeightedBackend> {
    let shares: Vec<_> = items(fields, "backends", findings, share)
        .into_iter()
        .flatten()
        .collect();
    if !shares.is_empty() {
        check_weights(&shares, fields, findings);
        return weighted(shares);
    }
    if fields.value("backends").is_some() && fields.value("backend").is_none() {
        findings.add(fields.place().field("backends"), "names no service");
        return Vec::new();
    }
    match fields.needed_text("backend", findings) {
        Some(backend) => vec![WeightedBackend {
            backend: backend.to_owned(),
            weight: 1,
        }],
        None => Vec::new(),
    }
}

/// A service with its weight as the operator wrote it.
struct Share {
    backend: String,
    weight: f64,
}

fn share(fields: &Fields<'_>, findings: &mut Findings) -> Share {
    let backend = fields.needed_text("backend", findings).unwrap_or_default();
    let weight = fields.amount("weight", findings);
    Share {
        backend: backend.to_owned(),
        weight: weight.unwrap_or(1.0),
    }
}

fn check_weights(shares: &[Share], fields: &Fields<'_>, findings: &mut Findings) {
    if shares.iter().all(|share| share.weight == 0.0) {
        findings.add(fields.place().field("backends"), "the weights add up to 0");
    }
}

/// Whole weights stay as they are; where one is a fraction, all are counted in parts.
fn weighted(shares: Vec<Share>) -> Vec<WeightedBackend> {
    let whole = shares.iter().all(|share| share.weight.fract() == 0.0);
    let scale = if whole { 1.0 } else { WEIGHT_PARTS };
    let scaled = |share: Share| WeightedBackend {
        backend: share.backend,
        // Rounded up, so that the smallest weight above 0 doesn't vanish.
        weight: ((share.weight * scale).ceil() as u64).min(MAX_WEIGHT),
    };
    shares.into_iter().map(scaled).collect()
}

fn service(fields: &Fields<'_>, findings: &mut Findings) -> Service {
    Service {
        name: fields
            .needed_text("name", findings)
            .unwrap_or_default()
            .to_owned(),
        health_path: fields
            .text("health_path", findings)
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
        kv_capacity: fields.whole("kv_capacity", findings).unwrap_or_default(),
        kv_token_bytes: fields.whole("kv_token_bytes", findings).unwrap_or_default(),
        link_mbps: fields.amount("link_mbps", findings).unwrap_or_default(),
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
    fields.text("name", findings).unwrap_or_default().to_owned()
}

fn limits(fields: &Fields<'_>, findings: &mut Findings) -> Limits {
    object(fields, "limits", findings, given_limits).unwrap_or_default()
}

fn given_limits(fields: &Fields<'_>, findings: &mut Findings) -> Limits {
    let default = Limits::DEFAULT;
    let bytes = |name: &str, findings: &mut Findings| {
        let bytes = fields.whole(name, findings)?;
        Some(usize::try_from(bytes).unwrap_or(usize::MAX))
    };
    Limits {
        max_header_bytes: bytes("max_header_bytes", findings).unwrap_or(default.max_header_bytes),
        max_body_bytes: bytes("max_body_bytes", findings).unwrap_or(default.max_body_bytes),
        header_timeout_ms: fields
            .whole("header_timeout_ms", findings)
            .unwrap_or(default.header_timeout_ms),
        idle_timeout_ms: fields
            .whole("idle_timeout_ms", findings)
            .unwrap_or(default.idle_timeout_ms),
    }
}

/// Reads an object that may be absent.
fn object<T>(
    fields: &Fields<'_>,
    name: &str,
    findings: &mut Findings,
    read: fn(&Fields<'_>, &mut Findings) -> T,
) -> Option<T> {
    let value = fields.value(name)?;
    let place = fields.place().field(name);
    let fields = Fields::of(value, &place, findings)?;
    Some(read(&fields, findings))
}
