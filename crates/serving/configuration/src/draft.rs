//! A parsed configuration before validation.

use crate::model::{ConfigurationContent, Limits, RouteWithMatch, Service};

/// The parsed parts of a configuration. Items that are not objects are `None`, so that the others keep their indices.
#[derive(Default)]
pub(crate) struct Draft {
    pub(crate) generation: u64,
    pub(crate) routes: Vec<Option<RouteWithMatch>>,
    pub(crate) services: Vec<Option<Service>>,
    pub(crate) limits: Limits,
}

impl Draft {
    /// Converts the draft to the content of a configuration, without items that could not be parsed and routes that are not usable.
    pub(crate) fn into_content(self) -> ConfigurationContent {
        ConfigurationContent {
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

/// Whether a route has a timeout and at least one service with a weight above 0.
fn is_usable(entry: &RouteWithMatch) -> bool {
    let has_backend = entry
        .route
        .backends
        .iter()
        .any(|backend| backend.weight > 0);
    entry.route.timeout_ms > 0 && has_backend
}
