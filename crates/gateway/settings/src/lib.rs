//! Reads the settings document. Keys that are not known are skipped; absent optional ones have the
//! meaning that the wire's page gives them.

use dunespur_decisions::types::*;
use serde_json::Value;

/// The settings and the names that invocations use.
pub struct Read {
    pub settings: Settings,
    pub plans: Vec<String>,
    pub operations: Vec<String>,
    pub zones: Vec<String>,
    pub settles: bool,
    /// The largest invocation, in units; 0 where no bound is given.
    pub most_units: f64,
    /// Seconds a connection may take to come up, and may stand idle.
    pub dial_timeout: f64,
    pub idle_time: f64,
}

fn number(v: &Value, key: &str) -> Result<f64, String> {
    match &v[key] {
        Value::Null => Ok(0.0),
        x => x
            .as_f64()
            .filter(|n| *n >= 0.0)
            .ok_or(format!("settings: {key} is not a number from 0 up")),
    }
}

fn needed(v: &Value, key: &str) -> Result<f64, String> {
    match number(v, key)? {
        n if n > 0.0 => Ok(n),
        _ => Err(format!("settings: {key} is missing or 0")),
    }
}

fn text<'a>(v: &'a Value, key: &str) -> Result<&'a str, String> {
    v[key]
        .as_str()
        .ok_or(format!("settings: {key} is not a text"))
}

fn list<'a>(v: &'a Value, key: &str) -> Result<&'a [Value], String> {
    v[key]
        .as_array()
        .map(Vec::as_slice)
        .ok_or(format!("settings: {key} is not a list"))
}

fn names(v: &Value, key: &str) -> Result<Vec<String>, String> {
    let name = |x: &Value| {
        x.as_str()
            .map(str::to_owned)
            .ok_or(format!("settings: {key} holds no texts"))
    };
    list(v, key)?.iter().map(name).collect()
}

fn operation(v: &Value) -> Result<OperationSettings, String> {
    let effect = match text(v, "effect")? {
        "free" => Effect::Idempotent,
        "single_shot" => Effect::NonIdempotent,
        "guarded" => {
            let group = match text(v, "group")? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(format!("settings: group {other} is unknown")),
            };
            Effect::Tokened {
                group,
                window: number(v, "windowS")?,
            }
        }
        other => return Err(format!("settings: effect {other} is unknown")),
    };
    Ok(OperationSettings {
        effect,
        objective: needed(v, "goalTimeS")?,
        integration_timeout: needed(v, "deadlineS")?,
        billed_value: number(v, "importance")?,
        late_share: number(v, "lateShare")?,
    })
}

fn plan(v: &Value) -> Result<PlanSettings, String> {
    Ok(PlanSettings {
        rate: number(v, "rate")?,
        burst: number(v, "burst")?,
        open: number(v, "concurrency")?,
        hard_rate: number(v, "hardRate")?,
        hard_burst: number(v, "hardBurst")?,
        over_worth: number(v, "overWorth")?,
        beyond_costs: number(v, "beyondCosts")?,
        price: if v["worthFactor"].is_null() {
            1.0
        } else {
            number(v, "worthFactor")?
        },
    })
}

/// Reads the document from its text.
pub fn parse(document: &str, seed: u64) -> Result<Read, String> {
    read(
        &serde_json::from_str(document).map_err(|e| format!("settings: {e}"))?,
        seed,
    )
}

pub fn read(v: &Value, seed: u64) -> Result<Read, String> {
    let (domain, limits, rules) = (&v["domain"], &v["limits"], &v["rules"]);
    let zones = names(v, "failureDomains")?;
    let zone = text(v, "zone")?;
    let zone = zones
        .iter()
        .position(|z| z == zone)
        .ok_or("settings: zone is not listed")?;
    let advised = limits["retryAfter"].as_bool().unwrap_or(false);
    let settings = Settings {
        seed,
        slot: number(v, "slotNo")? as u32,
        fleet: needed(v, "fleetSize")? as u32,
        zone,
        operations: list(v, "classes")?
            .iter()
            .map(operation)
            .collect::<Result<_, _>>()?,
        plans: list(v, "contracts")?
            .iter()
            .map(plan)
            .collect::<Result<_, _>>()?,
        counter: domain["sharedCounter"].as_bool().unwrap_or(false),
        count_wait: number(domain, "countWaitS")?,
        call_price: number(domain, "callPrice")?,
        max_pause: if advised {
            number(limits, "maxRetryAfterS")?
        } else {
            0.0
        },
        most_deliveries: needed(limits, "tryLimit")? as u32,
        cold_from: number(rules, "coldFrom")?,
        cold_for: number(rules, "coldS")?,
        fall_multiple: number(rules, "fallMultiple")?,
        answer_slack: number(rules, "answerSlackS")?,
        watch_on_request: v["discovery"] == "on_request",
    };
    Ok(Read {
        settings,
        plans: names_of(v, "contracts")?,
        operations: names_of(v, "classes")?,
        zones,
        settles: domain["settles"].as_bool().unwrap_or(false),
        most_units: number(domain, "largest")?,
        dial_timeout: number(limits, "dialTimeoutS")?,
        idle_time: number(limits, "keepaliveS")?,
    })
}

fn names_of(v: &Value, key: &str) -> Result<Vec<String>, String> {
    list(v, key)?
        .iter()
        .map(|x| Ok(text(x, "name")?.to_owned()))
        .collect()
}
