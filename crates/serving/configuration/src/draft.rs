//! A parsed configuration before validation.

use crate::model::{Limits, Model, PlacedRoute, Service};

/// The parsed parts of a configuration. Items that are not objects are `None`, so that the others keep their indices.
#[derive(Default)]
pub(crate) struct Draft {
    pub(crate) generation: u64,
    pub(crate) routes: Vec<Option<PlacedRoute>>,
    pub(crate) services: Vec<Option<Service>>,
    pub(crate) limits: Limits,
}

impl Draft {
    /// Converts the draft to a model, without items that could not be parsed and routes that are not usable.
    pub(crate) fn into_model(self) -> Model {
        Model {
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
fn is_usable(placed: &PlacedRoute) -> bool {
    let has_backend = placed
        .route
        .backends
        .iter()
        .any(|backend| backend.weight > 0);
    placed.route.timeout_ms > 0 && has_backend
}
