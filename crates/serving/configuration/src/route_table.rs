//! Lookups of routes and services by the data plane.

use crate::{
    model::{ConfigurationContent, RouteWithMatch},
    parser, Document, Findings, Limits, Route, Service,
};
use std::{collections::BTreeMap, rc::Rc};

/// The routes and services of one configuration, indexed for lookups.
#[derive(Debug)]
pub struct RouteTable {
    generation: u64,
    /// Hosts by their names in lower case.
    hosts: BTreeMap<String, Host>,
    services: BTreeMap<String, Rc<Service>>,
    limits: Limits,
}

/// The routes of one host, by path prefix.
#[derive(Debug, Default)]
struct Host {
    routes: BTreeMap<String, Rc<Route>>,
    /// Length of the longest path prefix in bytes.
    longest_prefix: usize,
}

impl RouteTable {
    /// Creates the table of a validated configuration.
    #[must_use]
    pub fn new(document: &Document) -> RouteTable {
        // A document's text was parsed successfully before, so parsing it again cannot fail.
        RouteTable::from_content(parser::parse_accepted(document.json()).unwrap_or_default())
    }

    /// Creates a table without routes and services, for use before the first configuration.
    #[must_use]
    pub fn empty() -> RouteTable {
        RouteTable::from_content(ConfigurationContent::default())
    }

    /// Creates the table from the text of a configuration that was accepted before. Equivalent to a table of
    /// [`Document::from_accepted`], but parses the text only once.
    ///
    /// # Errors
    ///
    /// A finding, if the text is not JSON.
    pub fn from_accepted(json: &str) -> Result<RouteTable, Findings> {
        Ok(RouteTable::from_content(parser::parse_accepted(json)?))
    }

    /// The generation number that the operator assigned to the configuration.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The route for a request: among the routes of `host`, the one with the longest prefix that matches `path`. `host`
    /// may include a port, and a query after the path is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = self.find_host(host)?;
        let path = path.split_once('?').map_or(path, |(path, _query)| path);
        host.find_longest_prefix(path)
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// All services, in order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// All routes, in order of host and prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flat_map(|host| host.routes.values())
    }

    /// The limits on clients' requests and connections.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    fn from_content(content: ConfigurationContent) -> RouteTable {
        let mut hosts: BTreeMap<String, Host> = BTreeMap::new();
        for entry in content.routes {
            let RouteWithMatch {
                host,
                path_prefix,
                route,
            } = entry;
            hosts.entry(host).or_default().add(path_prefix, route);
        }
        let by_name = |service: Service| (service.name.clone(), Rc::new(service));
        RouteTable {
            generation: content.generation,
            hosts,
            services: content.services.into_iter().map(by_name).collect(),
            limits: content.limits,
        }
    }

    /// The routes for the value of a `Host` header. A host that is configured with the port takes precedence over the
    /// same host without a port.
    fn find_host(&self, header: &str) -> Option<&Host> {
        let found = self
            .hosts
            .get(header)
            .or_else(|| self.hosts.get(without_port(header)));
        if found.is_some() || !header.bytes().any(|byte| byte.is_ascii_uppercase()) {
            return found;
        }
        let lower = header.to_ascii_lowercase();
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

    /// The route with the longest prefix that matches `path`. Prefixes end with a slash, so the search tries each slash
    /// of the path from the last one back. It starts at the length of the longest prefix, which bounds the work for
    /// long paths full of slashes.
    fn find_longest_prefix(&self, path: &str) -> Option<&Rc<Route>> {
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

/// Removes the port from a host. An IPv6 address in brackets keeps its colons.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
