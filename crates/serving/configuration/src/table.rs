//! What the data plane asks: the route of a request, a service by its name.

use crate::{
    model::{Model, PlacedRoute},
    read, Document, Findings, Limits, Route, Service,
};
use std::{collections::BTreeMap, rc::Rc};

/// The routes and services of one configuration, ready to be asked.
#[derive(Debug)]
pub struct Table {
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

impl Table {
    /// The table of a checked configuration.
    pub fn new(document: &Document) -> Table {
        // A document was read before it became one, and reads the same each time.
        Table::of(read::taken(document.json()).unwrap_or_default())
    }

    /// The table before any configuration: no routes, no services.
    pub fn empty() -> Table {
        Table::of(Model::default())
    }

    /// The table of the text of a configuration that was taken before, as [`Document::taken`], read once only.
    pub fn taken(json: &str) -> Result<Table, Findings> {
        Ok(Table::of(read::taken(json)?))
    }

    /// The number that the operator gave to the configuration.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The route for a request: of the routes for `host`, which may carry a port, the one with the
    /// longest prefix that begins `path`. A query behind the path plays no part.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = self.host(host)?;
        let path = path.split_once('?').map_or(path, |(path, _query)| path);
        host.longest(path)
    }

    /// A service by its name.
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

    /// What a client may send, and how long it may take.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    fn of(model: Model) -> Table {
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
        Table {
            generation: model.generation,
            hosts,
            services: model.services.into_iter().map(by_name).collect(),
            limits: model.limits,
        }
    }

    /// The routes of a host, asked for as a `Host` header names it. A host that is configured with a
    /// port goes before the same one without.
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

    /// The route with the longest prefix that begins `path`. Every prefix ends with a slash, so only
    /// the slashes of the path are tried, from the last on.
    ///
    /// No further than the longest prefix: against long paths full of slashes, where each try would
    /// read the path anew.
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
