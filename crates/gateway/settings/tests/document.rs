//! Each key of the settings document is read into its own field, and errors name the key of an invalid value.

use dunespur_decisions::types::{Effect, TokenScope};
use dunespur_settings::{parse, SettingsDocument};
use serde_json::{json, Value};

/// A complete document with distinct numbers.
fn document() -> Value {
    json!({
        "failureDomains": ["zone-a", "zone-b", "zone-c"],
        "zone": "zone-b",
        "slotNo": 11,
        "fleetSize": 12,
        "discovery": "on_request",
        "domain": {
            "sharedCounter": true, "countWaitS": 1.5, "callPrice": 2.5, "settles": true, "largest": 3.5
        },
        "limits": {
            "retryAfter": true, "maxRetryAfterS": 4.5, "tryLimit": 13, "dialTimeoutS": 5.5, "keepaliveS": 6.5
        },
        "rules": { "coldFrom": 7.5, "coldS": 8.5, "fallMultiple": 9.5, "answerSlackS": 10.5 },
        "classes": [
            operation("get", "free", Value::Null, 20.0),
            operation("post", "single_shot", Value::Null, 30.0),
            operation("put-all", "guarded", json!("all"), 40.0),
            operation("put-zone", "guarded", json!("zone"), 50.0),
            operation("put-cell", "guarded", json!("cell"), 60.0)
        ],
        "contracts": [
            {
                "name": "plan-1", "rate": 70.5, "burst": 71.5, "concurrency": 72.5, "hardRate": 73.5,
                "hardBurst": 74.5, "overWorth": 75.5, "beyondCosts": 76.5, "worthFactor": 77.5
            },
            { "name": "plan-2" }
        ],
        "an unknown key": {}
    })
}

fn operation(name: &str, effect: &str, group: Value, first: f64) -> Value {
    json!({
        "name": name, "effect": effect, "group": group, "windowS": first, "goalTimeS": first + 1.0,
        "deadlineS": first + 2.0, "importance": first + 3.0, "lateShare": first + 4.0
    })
}

fn read(document: &Value) -> SettingsDocument {
    parse(&document.to_string(), 99).unwrap_or_else(|error| panic!("{error}"))
}

fn error(document: &Value) -> String {
    parse(&document.to_string(), 99)
        .err()
        .expect("the document is rejected")
        .to_string()
}

#[test]
fn each_key_is_read_into_its_own_field() {
    let read = read(&document());
    assert_eq!(read.plans, ["plan-1", "plan-2"]);
    assert_eq!(
        read.operations,
        ["get", "post", "put-all", "put-zone", "put-cell"]
    );
    assert_eq!(read.zones, ["zone-a", "zone-b", "zone-c"]);
    assert!(read.charges_by_use);
    assert_eq!(
        (read.max_units, read.connect_timeout, read.idle_timeout),
        (3.5, 5.5, 6.5)
    );
    let settings = &read.settings;
    assert_eq!(
        (
            settings.seed,
            settings.fleet_index,
            settings.fleet_size,
            settings.zone
        ),
        (99, 11, 12, 1)
    );
    assert!(settings.has_counter && settings.endpoints_on_request);
    assert_eq!((settings.counter_timeout, settings.call_price), (1.5, 2.5));
    assert_eq!((settings.max_retry_after, settings.max_attempts), (4.5, 13));
    assert_eq!((settings.warm_up_from, settings.warm_up_time), (7.5, 8.5));
    assert_eq!(
        (settings.overload_multiple, settings.response_slack),
        (9.5, 10.5)
    );
}

#[test]
fn each_key_of_a_class_is_read_into_its_own_field() {
    let read = read(&document());
    let effects: Vec<Effect> = read
        .settings
        .operations
        .iter()
        .map(|operation| operation.effect)
        .collect();
    let expected = [
        Effect::Idempotent,
        Effect::NonIdempotent,
        Effect::Tokened {
            scope: TokenScope::All,
            window: 40.0,
        },
        Effect::Tokened {
            scope: TokenScope::Zone,
            window: 50.0,
        },
        Effect::Tokened {
            scope: TokenScope::Cell,
            window: 60.0,
        },
    ];
    assert_eq!(effects, expected);
    let put = &read.settings.operations[2];
    assert_eq!(
        (
            put.latency_target,
            put.integration_timeout,
            put.billed_value,
            put.late_share
        ),
        (41.0, 42.0, 43.0, 44.0)
    );
}

#[test]
fn each_key_of_a_contract_is_read_into_its_own_field() {
    let read = read(&document());
    let plan = &read.settings.plans[0];
    assert_eq!(
        (plan.rate, plan.burst, plan.max_in_flight),
        (70.5, 71.5, 72.5)
    );
    assert_eq!((plan.hard_rate, plan.hard_burst), (73.5, 74.5));
    assert_eq!(
        (
            plan.beyond_quota_earnings,
            plan.beyond_quota_cost,
            plan.price
        ),
        (75.5, 76.5, 77.5)
    );
    let absent = &read.settings.plans[1];
    assert_eq!(
        (
            absent.rate,
            absent.burst,
            absent.max_in_flight,
            absent.beyond_quota_earnings,
            absent.price
        ),
        (0.0, 0.0, 0.0, 0.0, 1.0)
    );
}

#[test]
fn absent_optional_keys_have_their_defaults() {
    let mut document = document();
    for (section, keys) in [
        (
            "domain",
            vec![
                "sharedCounter",
                "countWaitS",
                "callPrice",
                "settles",
                "largest",
            ],
        ),
        ("limits", vec!["retryAfter", "dialTimeoutS", "keepaliveS"]),
        (
            "rules",
            vec!["coldFrom", "coldS", "fallMultiple", "answerSlackS"],
        ),
    ] {
        let section = document[section].as_object_mut().expect("a section");
        keys.into_iter()
            .for_each(|key| drop(section.remove(key).expect("the key")));
    }
    let top = document.as_object_mut().expect("an object");
    drop((top.remove("discovery"), top.remove("slotNo")));
    let read = read(&document);
    let settings = &read.settings;
    assert!(!read.charges_by_use && !settings.has_counter && !settings.endpoints_on_request);
    assert_eq!(
        (read.max_units, read.connect_timeout, read.idle_timeout),
        (0.0, 0.0, 0.0)
    );
    assert_eq!(
        (
            settings.fleet_index,
            settings.counter_timeout,
            settings.call_price,
            settings.max_retry_after
        ),
        (0, 0.0, 0.0, 0.0)
    );
    assert_eq!(
        (
            settings.warm_up_from,
            settings.warm_up_time,
            settings.overload_multiple
        ),
        (0.0, 0.0, 0.0)
    );
    assert_eq!(settings.response_slack, 0.0);
}

/// Pointer to a value, invalid JSON value to replace it by, and expected error.
const INVALID_VALUES: [(&str, &str, &str); 22] = [
    ("/fleetSize", "0", "fleetSize is missing or 0"),
    ("/fleetSize", "null", "fleetSize is missing or 0"),
    (
        "/fleetSize",
        r#""12""#,
        "fleetSize is not a non-negative number",
    ),
    ("/slotNo", "-1", "slotNo is not a non-negative number"),
    ("/zone", "7", "zone is not a string"),
    (
        "/zone",
        r#""zone-d""#,
        "zone is not listed in failureDomains",
    ),
    ("/failureDomains", "null", "failureDomains is not a list"),
    (
        "/failureDomains/1",
        "1",
        "failureDomains is not a list of strings",
    ),
    ("/classes", "{}", "classes is not a list"),
    (
        "/classes/1/effect",
        r#""unheard of""#,
        r#"effect has the unknown value "unheard of""#,
    ),
    ("/classes/1/effect", "null", "effect is not a string"),
    (
        "/classes/2/group",
        r#""row""#,
        r#"group has the unknown value "row""#,
    ),
    ("/classes/2/group", "null", "group is not a string"),
    (
        "/classes/2/windowS",
        "[]",
        "windowS is not a non-negative number",
    ),
    ("/classes/0/goalTimeS", "0.0", "goalTimeS is missing or 0"),
    ("/classes/0/deadlineS", "null", "deadlineS is missing or 0"),
    ("/classes/0/name", "null", "name is not a string"),
    ("/contracts/0/name", "3", "name is not a string"),
    (
        "/contracts/0/worthFactor",
        r#""much""#,
        "worthFactor is not a non-negative number",
    ),
    ("/contracts", "null", "contracts is not a list"),
    ("/limits/tryLimit", "null", "tryLimit is missing or 0"),
    (
        "/limits/maxRetryAfterS",
        "true",
        "maxRetryAfterS is not a non-negative number",
    ),
];

#[test]
fn errors_name_the_key_of_an_invalid_value() {
    for (pointer, value, expected) in INVALID_VALUES {
        let mut document = document();
        let value: Value = serde_json::from_str(value).expect(value);
        *document.pointer_mut(pointer).expect(pointer) = value;
        assert_eq!(
            error(&document),
            format!("settings: {expected}"),
            "{pointer}"
        );
    }
}

#[test]
fn invalid_json_is_reported() {
    let Err(error) = parse("{", 1) else {
        panic!("invalid JSON is accepted")
    };
    let expected = "settings: EOF while parsing an object at line 1 column 1";
    assert_eq!(error.to_string(), expected);
}
