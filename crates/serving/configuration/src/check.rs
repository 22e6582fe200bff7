//! What has to hold between the items of a configuration.

use crate::{
    model::{PlacedRoute, Service},
    place::Place,
    read::Draft,
    Findings,
};
use std::collections::{HashMap, HashSet};

/// Checks what was read; names and places that couldn't be read were found before and are passed over.
pub(crate) fn draft(draft: &Draft, findings: &mut Findings) {
    let route_names = draft
        .routes
        .iter()
        .map(|route| route.as_ref().map(|route| route.route.name.as_str()));
    let service_names = draft
        .services
        .iter()
        .map(|service| service.as_ref().map(|service| service.name.as_str()));
    names("routes", route_names, findings);
    names("services", service_names, findings);
    prefixes(&draft.routes, findings);
    places(&draft.routes, findings);
    known_services(&draft.routes, &draft.services, findings);
}

/// No two items of a list have one name: a patch couldn't tell them apart.
fn names<'a>(list: &str, names: impl Iterator<Item = Option<&'a str>>, findings: &mut Findings) {
    let list = Place::Top.field(list);
    let mut first_uses = HashMap::new();
    for (index, name) in names.enumerate() {
        let Some(name) = name.filter(|name| !name.is_empty()) else {
            continue;
        };
        let first = *first_uses.entry(name).or_insert(index);
        if first != index {
            findings.add(
                list.item(index).field("name"),
                format!("{name:?} is the name of {} too", list.item(first)),
            );
        }
    }
}

/// Every prefix begins and ends with a slash.
fn prefixes(routes: &[Option<PlacedRoute>], findings: &mut Findings) {
    let list = Place::Top.field("routes");
    for (index, route) in routes.iter().enumerate() {
        let Some(route) = route else { continue };
        let prefix = route.path_prefix.as_str();
        let bounded = prefix.starts_with('/') && prefix.ends_with('/');
        if !prefix.is_empty() && !bounded {
            findings.add(
                list.item(index).field("path_prefix"),
                "doesn't begin and end with a slash",
            );
        }
    }
}

/// No two routes share host and prefix: a request couldn't tell them apart.
fn places(routes: &[Option<PlacedRoute>], findings: &mut Findings) {
    let list = Place::Top.field("routes");
    let mut first_uses = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let Some(route) = route else { continue };
        if route.host.is_empty() || route.path_prefix.is_empty() {
            continue;
        }
        let place = (route.host.as_str(), route.path_prefix.as_str());
        let first = *first_uses.entry(place).or_insert(index);
        if first != index {
            let problem = format!("host and prefix are those of {} too", list.item(first));
            findings.add(list.item(index).field("path_prefix"), problem);
        }
    }
}

/// Every service that a route names is there, those of weight 0 included.
fn known_services(
    routes: &[Option<PlacedRoute>],
    services: &[Option<Service>],
    findings: &mut Findings,
) {
    let known: HashSet<&str> = services
        .iter()
        .flatten()
        .map(|service| service.name.as_str())
        .collect();
    let list = Place::Top.field("routes");
    for (index, route) in routes.iter().enumerate() {
        let Some(route) = route else { continue };
        for backend in &route.route.backends {
            let name = backend.backend.as_str();
            if !name.is_empty() && !known.contains(name) {
                findings.add(
                    list.item(index),
                    format!("the service {name:?} is not known"),
                );
            }
        }
    }
}
