//! Properties of configurations and patches, checked with seeded random inputs: truncated text is rejected, damaged
//! bytes never cause a panic, a patch has the same result as a simple reference implementation, unchanged items keep
//! their bytes, and a lookup finds the same route as a search through all routes.

use dunespur_configuration::{Document, RouteTable};
use fastrand::Rng;
use serde_json::{json, Map, Value};

const SEEDS: u64 = 300;
const PAGE: &str = include_str!("good/page.json");

/// Segments of paths and prefixes, few enough that random paths and prefixes often match.
const SEGMENTS: [&str; 4] = ["a", "b", "ab", "ñ"];

fn name(random: &mut Rng) -> String {
    format!("n{}", random.u32(0..8))
}

fn path(random: &mut Rng, segments: usize) -> String {
    let segments: Vec<&str> = (0..segments)
        .map(|_| SEGMENTS[random.usize(0..SEGMENTS.len())])
        .collect();
    segments.join("/")
}

fn prefix(random: &mut Rng) -> String {
    match random.usize(0..4) {
        0 => "/".to_owned(),
        segments => format!("/{}/", path(random, segments)),
    }
}

fn route(random: &mut Rng, name: String) -> Value {
    json!({
        "name": name, "host": format!("h{}.example", random.u32(0..3)), "path_prefix": prefix(random),
        "kind": "read_only", "timeout_ms": random.u32(1..9), "backend": "s", "note": random.u32(0..1000),
    })
}

/// Routes with distinct names and distinct pairs of host and prefix.
fn routes(random: &mut Rng) -> Vec<Value> {
    let mut routes: Vec<Value> = Vec::new();
    for index in 0..random.usize(0..12) {
        let new = route(random, format!("n{index}"));
        let key = |route: &Value| (route["host"].clone(), route["path_prefix"].clone());
        if routes.iter().all(|route| key(route) != key(&new)) {
            routes.push(new);
        }
    }
    routes
}

fn configuration(generation: u64, routes: Vec<Value>) -> Value {
    json!({ "generation": generation, "routes": routes, "services": [{ "name": "s" }], "keys": [{ "name": "n1" }] })
}

fn document(value: &Value) -> Document {
    Document::replace(value.to_string().as_bytes()).expect("a valid configuration")
}

/// An item to upsert into an array. Routes may be invalid.
fn patch_item(random: &mut Rng, array: &str, name: String) -> Value {
    if array != "routes" {
        return json!({ "name": name, "x": random.u32(0..9) });
    }
    let mut route = route(random, name);
    route["timeout_ms"] = random.u32(0..3).into();
    route
}

/// A patch of known arrays and an unknown one.
fn patch(random: &mut Rng) -> Value {
    let mut upsert = Map::new();
    let mut remove = Map::new();
    for array in ["routes", "keys", "colours"] {
        if random.bool() {
            let mut items: Vec<Value> = Vec::new();
            for _ in 0..random.usize(0..4) {
                let name = name(random);
                if items.iter().all(|item| item["name"] != name) {
                    items.push(patch_item(random, array, name));
                }
            }
            upsert.insert(array.to_owned(), Value::from(items));
        }
        if random.bool() {
            let names: Vec<String> = (0..random.usize(0..4)).map(|_| name(random)).collect();
            remove.insert(array.to_owned(), Value::from(names));
        }
    }
    json!({ "generation": random.u32(2..100), "upsert": upsert, "remove": remove })
}

/// Reference implementation of patches, on parsed JSON values.
fn reference_result(current: &Value, patch: &Value) -> Value {
    let mut result = current.clone();
    result["generation"] = patch["generation"].clone();
    for (array, names) in patch["remove"].as_object().expect("an object") {
        if let Some(items) = result[array].as_array_mut() {
            items.retain(|item| !names.as_array().expect("an array").contains(&item["name"]));
        }
    }
    for (array, new) in patch["upsert"].as_object().expect("an object") {
        let new = new.as_array().expect("an array");
        if result[array].is_null() && !new.is_empty() {
            result[array] = json!([]);
        }
        for item in new {
            let items = result[array].as_array_mut().expect("an array");
            match items.iter_mut().find(|other| other["name"] == item["name"]) {
                Some(other) => *other = item.clone(),
                None => items.push(item.clone()),
            }
        }
    }
    // An array that does not exist and only has removals stays absent.
    result
        .as_object_mut()
        .expect("an object")
        .retain(|_, value| !value.is_null());
    result
}

#[test]
fn a_truncated_configuration_is_rejected() {
    for end in 0..PAGE.trim_end().len() {
        let findings =
            Document::replace(&PAGE.as_bytes()[..end]).expect_err("truncated text is invalid");
        assert_eq!(findings.0.len(), 1);
        assert_eq!(findings.0[0].location, "configuration");
    }
}

#[test]
fn damaged_bytes_never_panic_and_valid_ones_are_returned_as_received() {
    let current = Document::replace(PAGE.as_bytes()).expect("a valid configuration");
    for seed in 0..20 * SEEDS {
        let mut random = Rng::with_seed(seed);
        let mut bytes = PAGE.as_bytes().to_vec();
        for _ in 0..random.usize(1..4) {
            let at = random.usize(0..bytes.len());
            bytes[at] = if random.bool() {
                random.u8(..)
            } else {
                PAGE.as_bytes()[random.usize(0..PAGE.len())]
            };
        }
        if let Ok(document) = Document::replace(&bytes) {
            assert_eq!(document.to_json().as_bytes(), bytes);
            assert_eq!(
                RouteTable::new(&document).generation(),
                document.generation()
            );
        }
        let _ = current.patch(&bytes);
    }
}

#[test]
fn a_patch_has_the_result_of_the_reference_implementation() {
    let (mut accepted, mut rejected) = (0, 0);
    for seed in 0..SEEDS {
        let mut random = Rng::with_seed(seed);
        let routes = routes(&mut random);
        let mut current = configuration(1, routes);
        for _ in 0..20 {
            let patch = patch(&mut random);
            let expected = reference_result(&current, &patch);
            match document(&current).patch(patch.to_string().as_bytes()) {
                Ok(result) => {
                    let result: Value = serde_json::from_str(&result.to_json()).expect("JSON");
                    assert_eq!(result, expected, "seed {seed}");
                    current = expected;
                    accepted += 1;
                }
                Err(findings) => {
                    let replaced = Document::replace(expected.to_string().as_bytes())
                        .expect_err("a replacement by the expected result is rejected too");
                    assert_eq!(findings, replaced, "seed {seed}");
                    rejected += 1;
                }
            }
        }
    }
    assert!(
        accepted > 1_000 && rejected > 1_000,
        "too few patches of a kind: {accepted} accepted, {rejected} rejected"
    );
}

#[test]
fn a_patch_keeps_the_bytes_of_items_that_it_does_not_name() {
    let unusual_item = r#"{ "name" : "odd", "ratio": 1.10e0, "big": 123456789012345678901234567890, "t": "\u00f1" }"#;
    let text = format!(
        r#"{{"generation":1, "keys" : [ {unusual_item} , {{"name":"n1"}} ], "other": {unusual_item} }}"#
    );
    let mut document = Document::replace(text.as_bytes()).expect("a valid configuration");
    for generation in 2..50 {
        let patch = format!(
            r#"{{"generation":{generation},"upsert":{{"keys":[{{"name":"n1","v":{generation}}}]}}}}"#
        );
        document = document.patch(patch.as_bytes()).expect("a valid patch");
        let expected = format!(
            r#"{{"generation":{generation},"keys":[{unusual_item},{{"name":"n1","v":{generation}}}],"other":{unusual_item}}}"#
        );
        assert_eq!(document.to_json(), expected);
    }
}

#[test]
fn a_lookup_finds_the_same_route_as_a_search_through_all() {
    let mut found = 0;
    for seed in 0..SEEDS {
        let mut random = Rng::with_seed(seed);
        let routes = routes(&mut random);
        let table = RouteTable::new(&document(&configuration(1, routes.clone())));
        for _ in 0..40 {
            let host = format!("h{}.example", random.u32(0..4));
            let segments = random.usize(0..6);
            let path = format!("/{}", path(&mut random, segments));
            let text =
                |route: &Value, field: &str| route[field].as_str().expect("a text").to_owned();
            let expected = routes
                .iter()
                .filter(|route| {
                    text(route, "host") == host && path.starts_with(&text(route, "path_prefix"))
                })
                .max_by_key(|route| text(route, "path_prefix").len())
                .map(|route| text(route, "name"));
            assert_eq!(
                table.find(&host, &path).map(|route| route.name.clone()),
                expected,
                "seed {seed} {host}{path}"
            );
            found += usize::from(expected.is_some());
        }
    }
    assert!(found > 1_000, "only {found} lookups matched a route");
}
