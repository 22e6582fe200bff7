//! Validation of the invariants between the items of a configuration.

use crate::{
    draft::Draft,
    location::Location,
    model::{RouteWithMatch, Service},
    Findings,
};
use std::collections::{HashMap, HashSet};

/// Validates a draft. Names and values that could not be parsed already are findings and are skipped.
pub(crate) fn validate(draft: &Draft, findings: &mut Findings) {
    let route_names = draft
        .routes
        .iter()
        .map(|route| route.as_ref().map(|route| route.route.name.as_str()));
    let service_names = draft
        .services
        .iter()
        .map(|service| service.as_ref().map(|service| service.name.as_str()));
    validate_names("routes", route_names, findings);
    validate_names("services", service_names, findings);
    validate_prefixes(&draft.routes, findings);
    validate_distinct_routes(&draft.routes, findings);
    validate_service_names(&draft.routes, &draft.services, findings);
}

/// Checks that the names in an array are unique, because patches identify items by name.
fn validate_names<'a>(
    array: &str,
    names: impl Iterator<Item = Option<&'a str>>,
    findings: &mut Findings,
) {
    let array = Location::Top.field(array);
    let mut first_uses = HashMap::new();
    for (index, name) in names.enumerate() {
        let Some(name) = name.filter(|name| !name.is_empty()) else {
            continue;
        };
        let first = *first_uses.entry(name).or_insert(index);
        if first != index {
            findings.add(
                array.item(index).field("name"),
                format!("{name:?} is the name of {} too", array.item(first)),
            );
        }
    }
}

/// Checks that every path prefix begins and ends with a slash.
fn validate_prefixes(routes: &[Option<RouteWithMatch>], findings: &mut Findings) {
    let array = Location::Top.field("routes");
    for (index, route) in routes.iter().enumerate() {
        let Some(route) = route else { continue };
        let prefix = route.path_prefix.as_str();
        let has_slashes = prefix.starts_with('/') && prefix.ends_with('/');
        if !prefix.is_empty() && !has_slashes {
            findings.add(
                array.item(index).field("path_prefix"),
                "doesn't begin and end with a slash",
            );
        }
    }
}

/// Checks that no two routes have the same host and prefix, because a request would match both.
fn validate_distinct_routes(routes: &[Option<RouteWithMatch>], findings: &mut Findings) {
    let array = Location::Top.field("routes");
    let mut first_uses = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let Some(route) = route else { continue };
        if route.host.is_empty() || route.path_prefix.is_empty() {
            continue;
        }
        let key = (route.host.as_str(), route.path_prefix.as_str());
        let first = *first_uses.entry(key).or_insert(index);
        if first != index {
            let problem = format!("host and prefix are those of {} too", array.item(first));
            findings.add(array.item(index).field("path_prefix"), problem);
        }
    }
}

/// Checks that every service that a route names is configured, including services of weight 0.
fn validate_service_names(
    routes: &[Option<RouteWithMatch>],
    services: &[Option<Service>],
    findings: &mut Findings,
) {
    let known: HashSet<&str> = services
        .iter()
        .flatten()
        .map(|service| service.name.as_str())
        .collect();
    let array = Location::Top.field("routes");
    for (index, route) in routes.iter().enumerate() {
        let Some(route) = route else { continue };
        for backend in &route.route.backends {
            let name = backend.backend.as_str();
            if !name.is_empty() && !known.contains(name) {
                findings.add(
                    array.item(index),
                    format!("the service {name:?} is not known"),
                );
            }
        }
    }
}
