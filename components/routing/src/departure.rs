//! Backend servers that have said that they leave, in an answer or in a registration.
//!
//! Load pattern: servers are replaced one after the other while the discovery service is slow, turns processes away or
//! shows old registrations. A server's own answers tell of its leaving before, and whatever the discovery service
//! shows, this start of the server gets no more requests. A registration that says so is superseded by newer ones
//! only: heartbeats that were sent before may be accepted after it.

use std::net::SocketAddr;

use crate::directory::BackendServer;

/// Largest number of departures that are remembered; the oldest are forgotten first.
const MAX_DEPARTURES: usize = 1_024;

/// How a server has said that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DepartureNotice {
    /// In an answer.
    Answer,
    /// In the registration with this sequence.
    Registration(u64),
}

/// One start of a server that leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Departure {
    name: String,
    address: SocketAddr,
    started_at_ms: Option<u64>,
    notice: DepartureNotice,
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
    /// Records that this start of a server leaves. What it has said in an answer stands.
    pub(crate) fn record(&mut self, server: &BackendServer, notice: DepartureNotice) {
        if notice != DepartureNotice::Answer && self.notice(server) == Some(DepartureNotice::Answer) {
            return;
        }
        let departure = Departure {
            name: server.name.clone(),
            address: server.address,
            started_at_ms: server.started_at_ms,
            notice,
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

    /// Returns how this start of a server has said that it leaves; `None` if it has not. A server without a start time
    /// counts as the same start: only a stated one shows that it has restarted. A start before the one that leaves has
    /// ended, whatever its registration says.
    pub(crate) fn notice(&self, server: &BackendServer) -> Option<DepartureNotice> {
        let departure = &self.departures[self.position_of(&server.name).ok()?];
        if server.is_earlier_start(departure.started_at_ms) {
            return Some(DepartureNotice::Answer);
        }
        let has_restarted = server.started_at_ms.is_some() && server.started_at_ms != departure.started_at_ms;
        let is_same_start = departure.address == server.address && !has_restarted;
        is_same_start.then_some(departure.notice)
    }

    fn position_of(&self, name: &str) -> Result<usize, usize> {
        self.departures
            .binary_search_by(|departure| departure.name.as_str().cmp(name))
    }
}
