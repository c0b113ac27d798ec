//! Orders to load and unload models.

use std::time::Duration;

use hyper::StatusCode;
use serde::Deserialize;
use tokio::time::Instant;

use super::EngineSettings;
use crate::http::{Reply, empty_reply};

/// What an order asks for.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum OrderCommand {
    Load,
    Unload,
}

/// An order with its fencing number.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ModelOrder {
    fencing: u64,
    command: OrderCommand,
    model: String,
}

/// Models of an engine and the rate limit of the weight store.
#[derive(Debug)]
pub(crate) struct ModelOrders {
    check_fencing: bool,
    load: Duration,
    largest_fencing: u64,
    serves_any: bool,
    models: Vec<(String, Instant)>,
    store_free: Instant,
}

impl ModelOrders {
    /// Creates the models loaded at the start.
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        let now = Instant::now();
        Self {
            check_fencing: settings.check_fencing,
            load: Duration::from_millis(settings.load_ms),
            largest_fencing: 0,
            serves_any: settings.models.is_empty(),
            models: settings.models.iter().map(|model| (model.clone(), now)).collect(),
            store_free: now,
        }
    }

    /// Returns whether completions of the model are served.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.serves_any || self.loaded().iter().any(|loaded| loaded == model)
    }

    /// Lists the loaded models.
    pub(crate) fn loaded(&self) -> Vec<String> {
        let now = Instant::now();
        let ready = self.models.iter().filter(|(_, ready)| *ready <= now);
        ready.map(|(model, _)| model.clone()).collect()
    }

    /// Follows an order or refuses it.
    pub(crate) fn follow(&mut self, order: &ModelOrder) -> Reply {
        if self.check_fencing && order.fencing < self.largest_fencing {
            return empty_reply(StatusCode::CONFLICT);
        }
        self.largest_fencing = self.largest_fencing.max(order.fencing);
        match order.command {
            OrderCommand::Load => self.load(&order.model),
            OrderCommand::Unload => {
                self.models.retain(|(model, _)| *model != order.model);
                empty_reply(StatusCode::NO_CONTENT)
            }
        }
    }

    fn load(&mut self, model: &str) -> Reply {
        let now = Instant::now();
        if self.models.iter().any(|(present, _)| present == model) {
            return empty_reply(StatusCode::NO_CONTENT);
        }
        if self.store_free > now {
            return empty_reply(StatusCode::TOO_MANY_REQUESTS);
        }
        self.store_free = now + self.load;
        self.models.push((model.to_owned(), self.store_free));
        empty_reply(StatusCode::NO_CONTENT)
    }
}
