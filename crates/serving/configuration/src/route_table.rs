//! Lookups of the data plane: the route of a request, a service by its name.

use crate::{
    model::{Model, PlacedRoute},
    parser, Document, Findings, Limits, Route, Service,
};
use std::{collections::BTreeMap, rc::Rc};

/// The routes and services of one configuration, indexed.
#[derive(Debug)]
pub struct RouteTable {
    generation: u64,
    /// By name in lower case.
    hosts: BTreeMap<String, Host>,
    services: BTreeMap<String, Rc<Service>>,
    limits: Limits,
}

/// The routes of one host, by path prefix.
#[derive(Debug, Default)]
struct Host {
    routes: BTreeMap<String, Rc<Route>>,
    longest_prefix: usize,
}

impl RouteTable {
    /// The table of a validated configuration.
    #[must_use]
    pub fn new(document: &Document) -> RouteTable {
        // A document was parsed before it became one, and parses the same each time.
        RouteTable::of(parser::parse_accepted(document.json()).unwrap_or_default())
    }

    /// The table before any configuration: no routes, no services.
    #[must_use]
    pub fn empty() -> RouteTable {
        RouteTable::of(Model::default())
    }

    /// The table of the text of a configuration that was accepted before, as [`Document::from_accepted`], parsed only
    /// once.
    ///
    /// # Errors
    ///
    /// The finding, if it is not JSON.
    pub fn from_accepted(json: &str) -> Result<RouteTable, Findings> {
        Ok(RouteTable::of(parser::parse_accepted(json)?))
    }

    /// The number that the operator gave to the configuration.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The route for a request: of the routes for `host`, which may have a port, the one with the longest prefix of
    /// `path`. A query behind the path is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = self.host(host)?;
        let path = path.split_once('?').map_or(path, |(path, _query)| path);
        host.longest(path)
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// All services, by name.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// All routes, by host and prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flat_map(|host| host.routes.values())
    }

    /// The limits of clients.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    fn of(model: Model) -> RouteTable {
        let mut hosts: BTreeMap<String, Host> = BTreeMap::new();
        for placed in model.routes {
            let PlacedRoute {
                host,
                path_prefix,
                route,
            } = placed;
            hosts.entry(host).or_default().add(path_prefix, route);
        }
        let by_name = |service: Service| (service.name.clone(), Rc::new(service));
        RouteTable {
            generation: model.generation,
            hosts,
            services: model.services.into_iter().map(by_name).collect(),
            limits: model.limits,
        }
    }

    /// The routes of the host in a `Host` header. A host that is configured with a port takes precedence over the same
    /// one without.
    fn host(&self, named: &str) -> Option<&Host> {
        let found = self
            .hosts
            .get(named)
            .or_else(|| self.hosts.get(without_port(named)));
        if found.is_some() || !named.bytes().any(|byte| byte.is_ascii_uppercase()) {
            return found;
        }
        let lower = named.to_ascii_lowercase();
        self.hosts
            .get(&lower)
            .or_else(|| self.hosts.get(without_port(&lower)))
    }
}

impl Host {
    fn add(&mut self, path_prefix: String, route: Route) {
        self.longest_prefix = self.longest_prefix.max(path_prefix.len());
        self.routes.insert(path_prefix, Rc::new(route));
    }

    /// The route with the longest prefix of `path`. Every prefix ends with a slash, so only the slashes of the path are
    /// candidates, from the last on, and none beyond the longest prefix: that bounds the work for long paths full of
    /// slashes.
    fn longest(&self, path: &str) -> Option<&Rc<Route>> {
        let mut end = path.len().min(self.longest_prefix);
        while let Some(slash) = path.as_bytes()[..end]
            .iter()
            .rposition(|byte| *byte == b'/')
        {
            if let Some(route) = self.routes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}

/// A host without the port behind it; an IPv6 address keeps the colons in its brackets.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
