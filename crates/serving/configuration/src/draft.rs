//! A parsed configuration that is not validated yet.

use crate::model::{Limits, Model, PlacedRoute, Service};

/// What was parsed, with gaps where an item was no object, so that items keep their indices.
#[derive(Default)]
pub(crate) struct Draft {
    pub(crate) generation: u64,
    pub(crate) routes: Vec<Option<PlacedRoute>>,
    pub(crate) services: Vec<Option<Service>>,
    pub(crate) limits: Limits,
}

impl Draft {
    /// The model of everything usable.
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

fn is_usable(placed: &PlacedRoute) -> bool {
    let has_backend = placed
        .route
        .backends
        .iter()
        .any(|backend| backend.weight > 0);
    placed.route.timeout_ms > 0 && has_backend
}
