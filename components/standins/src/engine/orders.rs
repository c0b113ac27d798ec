//! Orders to load and unload models.

use std::time::Duration;

use domain::TimeMillis;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::EngineSettings;
use crate::http::{Reply, empty_reply, json_reply};

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

/// An order as the engine answered it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRecord {
    /// Fencing number.
    pub fencing: u64,
    /// Whether the order was to load.
    pub load: bool,
    /// Model.
    pub model: String,
    /// Status of the answer.
    pub status: u16,
    /// Time of the answer.
    pub taken: TimeMillis,
    /// Time at which an accepted load is ready.
    pub ready: TimeMillis,
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
    records: Vec<OrderRecord>,
    unserved: u64,
}

impl ModelOrders {
    /// Creates the models loaded at the start.
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        let now = Instant::now();
        Self {
            check_fencing: settings.check_fencing,
            load: Duration::from_millis(settings.load_ms),
            largest_fencing: 0,
            serves_any: settings.models.is_empty() && !settings.takes_orders,
            records: Vec::new(),
            unserved: 0,
            models: settings.models.iter().map(|model| (model.clone(), now)).collect(),
            store_free: now,
        }
    }

    /// Returns whether completions of the model are served.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.serves_any || self.loaded().iter().any(|loaded| loaded == model)
    }

    /// Answers with the loaded models; an engine that takes no orders knows no such list.
    pub(crate) fn list(&self) -> Reply {
        if self.serves_any {
            empty_reply(StatusCode::NOT_FOUND)
        } else {
            json_reply(&self.loaded())
        }
    }

    /// Counts a completion of a model that is not loaded.
    pub(crate) const fn count_unserved(&mut self) {
        self.unserved += 1;
    }

    /// Returns the completions refused because their model was not loaded.
    pub(crate) const fn unserved(&self) -> u64 {
        self.unserved
    }

    /// Returns every order that came.
    pub(crate) fn records(&self) -> Vec<OrderRecord> {
        self.records.clone()
    }

    /// Lists the loaded models.
    pub(crate) fn loaded(&self) -> Vec<String> {
        let now = Instant::now();
        let ready = self.models.iter().filter(|(_, ready)| *ready <= now);
        ready.map(|(model, _)| model.clone()).collect()
    }

    /// Follows an order or refuses it.
    pub(crate) fn follow(&mut self, order: &ModelOrder) -> Reply {
        let reply = self.answer(order);
        let taken = TimeMillis::now();
        let load_ms = u64::try_from(self.load.as_millis()).unwrap_or(u64::MAX);
        self.records.push(OrderRecord {
            fencing: order.fencing,
            load: matches!(order.command, OrderCommand::Load),
            model: order.model.clone(),
            status: reply.status().as_u16(),
            taken,
            ready: taken.plus(load_ms),
        });
        reply
    }

    fn answer(&mut self, order: &ModelOrder) -> Reply {
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
