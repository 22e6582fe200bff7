//! Conversion of the settings document to the settings of the decisions.

use crate::error::SettingsError;
use crate::section::Section;
use dunespur_decisions::types::{Effect, OperationSettings, PlanSettings, Settings, TokenScope};
use serde_json::Value;

/// The settings, and the names of plans, operations and zones.
pub struct SettingsDocument {
    /// Settings of the decisions.
    pub settings: Settings,
    /// Names of the document's contracts, in the order of `settings.plans`.
    pub plans: Vec<String>,
    /// Names of the document's classes, in the order of `settings.operations`.
    pub operations: Vec<String>,
    /// Names of the failure domains; `settings.zone` is an index into them.
    pub zones: Vec<String>,
    /// Whether an invocation is charged by its actual use.
    pub charges_by_use: bool,
    /// Maximum size of an invocation in units; 0 for no limit.
    pub max_units: f64,
    /// Seconds within which a connection must be established.
    pub connect_timeout: f64,
    /// Seconds after which an idle connection is closed.
    pub idle_timeout: f64,
}

/// Reads the document from JSON text. `seed` seeds the random numbers of the decisions.
///
/// # Errors
/// The text is not valid JSON, or a value is missing or invalid.
pub fn parse(document: &str, seed: u64) -> Result<SettingsDocument, SettingsError> {
    read(&serde_json::from_str(document)?, seed)
}

/// Reads the document from a JSON value. `seed` seeds the random numbers of the decisions.
///
/// # Errors
/// A value is missing or invalid.
pub fn read(document: &Value, seed: u64) -> Result<SettingsDocument, SettingsError> {
    let document = Section(document);
    let domain = document.section("domain");
    let limits = document.section("limits");
    let zones = document.strings("failureDomains")?;
    let settings = settings(document, &zones, seed)?;
    Ok(SettingsDocument {
        settings,
        plans: names(document, "contracts")?,
        operations: names(document, "classes")?,
        zones,
        charges_by_use: domain.flag("settles"),
        max_units: domain.number("largest")?,
        connect_timeout: limits.number("dialTimeoutS")?,
        idle_timeout: limits.number("keepaliveS")?,
    })
}

fn settings(document: Section<'_>, zones: &[String], seed: u64) -> Result<Settings, SettingsError> {
    let domain = document.section("domain");
    let limits = document.section("limits");
    let rules = document.section("rules");
    Ok(Settings {
        seed,
        zone: zone(document, zones)?,
        fleet_index: document.number("slotNo")? as u32,
        fleet_size: document.positive_number("fleetSize")? as u32,
        operations: document
            .list("classes")?
            .map(operation)
            .collect::<Result<_, _>>()?,
        plans: document
            .list("contracts")?
            .map(plan)
            .collect::<Result<_, _>>()?,
        has_counter: domain.flag("sharedCounter"),
        counter_timeout: domain.number("countWaitS")?,
        call_price: domain.number("callPrice")?,
        max_retry_after: if limits.flag("retryAfter") {
            limits.number("maxRetryAfterS")?
        } else {
            0.0
        },
        max_attempts: limits.positive_number("tryLimit")? as u32,
        warm_up_from: rules.number("coldFrom")?,
        warm_up_time: rules.number("coldS")?,
        overload_multiple: rules.number("fallMultiple")?,
        response_slack: rules.number("answerSlackS")?,
        endpoints_on_request: document.0["discovery"] == "on_request",
    })
}

/// Returns the index of the gateway's zone in the failure domains.
fn zone(document: Section<'_>, zones: &[String]) -> Result<usize, SettingsError> {
    let own = document.string("zone")?;
    let index = zones.iter().position(|zone| zone == own);
    index.ok_or(SettingsError::UnlistedZone)
}

fn operation(class: Section<'_>) -> Result<OperationSettings, SettingsError> {
    Ok(OperationSettings {
        effect: effect(class)?,
        latency_target: class.positive_number("goalTimeS")?,
        integration_timeout: class.positive_number("deadlineS")?,
        billed_value: class.number("importance")?,
        late_share: class.number("lateShare")?,
    })
}

fn effect(class: Section<'_>) -> Result<Effect, SettingsError> {
    match class.string("effect")? {
        "free" => Ok(Effect::Idempotent),
        "single_shot" => Ok(Effect::NonIdempotent),
        "guarded" => Ok(Effect::Tokened {
            scope: token_scope(class)?,
            window: class.number("windowS")?,
        }),
        other => Err(unknown_value("effect", other)),
    }
}

fn token_scope(class: Section<'_>) -> Result<TokenScope, SettingsError> {
    match class.string("group")? {
        "all" => Ok(TokenScope::All),
        "zone" => Ok(TokenScope::Zone),
        "cell" => Ok(TokenScope::Cell),
        other => Err(unknown_value("group", other)),
    }
}

fn plan(contract: Section<'_>) -> Result<PlanSettings, SettingsError> {
    Ok(PlanSettings {
        rate: contract.number("rate")?,
        burst: contract.number("burst")?,
        max_in_flight: contract.number("concurrency")?,
        hard_rate: contract.number("hardRate")?,
        hard_burst: contract.number("hardBurst")?,
        beyond_quota_earnings: contract.number("overWorth")?,
        beyond_quota_cost: contract.number("beyondCosts")?,
        price: if contract.is_absent("worthFactor") {
            1.0
        } else {
            contract.number("worthFactor")?
        },
    })
}

fn names(document: Section<'_>, key: &'static str) -> Result<Vec<String>, SettingsError> {
    let items = document.list(key)?;
    items
        .map(|item| item.string("name").map(str::to_owned))
        .collect()
}

fn unknown_value(key: &'static str, value: &str) -> SettingsError {
    SettingsError::Unknown {
        key,
        value: value.to_owned(),
    }
}
