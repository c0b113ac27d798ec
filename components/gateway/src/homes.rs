//! Home servers of sessions and objects, as an entry chooses them.

use routing::{AssignmentTable, LoadTracker, ServerDirectory, ServerKey};

use crate::state::PickRequest;

/// Tables of the services, which are built anew when the directory has changed.
#[derive(Debug, Default)]
pub(crate) struct HomeServers {
    /// State of the directory from which the tables were built.
    generation: u64,
    /// Tables by service, sorted by name.
    tables: Vec<(String, AssignmentTable)>,
}

impl HomeServers {
    /// Returns the table of a service for the present state of the directory.
    pub(crate) fn of_service(&mut self, directory: &ServerDirectory, service: &str) -> &mut AssignmentTable {
        if self.generation != directory.generation() {
            self.generation = directory.generation();
            self.tables.clear();
        }
        let found = self
            .tables
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        let index = found.unwrap_or_else(|index| {
            let table = AssignmentTable::of_service(directory, service);
            self.tables.insert(index, (service.to_owned(), table));
            index
        });
        &mut self.tables[index].1
    }
}

/// Returns the home server of a request; `None` if it belongs to no session, object or program, or if every server has
/// been tried. `prefix_servers` are the only candidates for a prompt that begins with a prefix.
pub(crate) fn home_server(
    table: &AssignmentTable,
    loads: &LoadTracker,
    request: &PickRequest<'_>,
    prefix_servers: Option<&[ServerKey]>,
) -> Option<ServerKey> {
    let key = request.home_key()?;
    let may_take = |server: ServerKey| {
        let is_candidate = prefix_servers.is_none_or(|servers| servers.binary_search(&server).is_ok());
        is_candidate && !request.tried.contains(&server)
    };
    table.bounded_home(key, |server| loads.in_flight(server), may_take)
}
