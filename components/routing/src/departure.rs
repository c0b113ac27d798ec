//! Backend servers that have said in an answer that they leave.
//!
//! Load pattern: servers are replaced one after the other while the discovery service is slow, turns processes away or
//! shows an old registration. A server's own answers tell of its leaving before, and whatever the discovery service
//! shows, this start of the server gets no more requests.

use std::net::SocketAddr;

use crate::directory::BackendServer;

/// Largest number of departures that are remembered; the oldest are forgotten first.
const MAX_DEPARTURES: usize = 1_024;

/// One start of a server that leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Departure {
    name: String,
    address: SocketAddr,
    started_at_ms: Option<u64>,
    /// Number of departures that were recorded before.
    position: u64,
}

/// The servers that have said that they leave, sorted by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct DepartureList {
    departures: Vec<Departure>,
    recorded: u64,
}

impl DepartureList {
    /// Records that this start of a server leaves.
    pub(crate) fn record(&mut self, server: &BackendServer) {
        let departure = Departure {
            name: server.name.clone(),
            address: server.address,
            started_at_ms: server.started_at_ms,
            position: self.recorded,
        };
        self.recorded += 1;
        match self.position_of(&server.name) {
            Ok(index) => self.departures[index] = departure,
            Err(index) => self.departures.insert(index, departure),
        }
        if self.departures.len() > MAX_DEPARTURES {
            let oldest = self.departures.iter().map(|departure| departure.position).min();
            self.departures
                .retain(|departure| Some(departure.position) != oldest);
        }
    }

    /// Returns whether this start of a server has said that it leaves.
    pub(crate) fn contains(&self, server: &BackendServer) -> bool {
        let departure = self
            .position_of(&server.name)
            .map(|index| &self.departures[index]);
        departure.is_ok_and(|departure| {
            departure.address == server.address && departure.started_at_ms == server.started_at_ms
        })
    }

    fn position_of(&self, name: &str) -> Result<usize, usize> {
        self.departures
            .binary_search_by(|departure| departure.name.as_str().cmp(name))
    }
}
