//! Home servers of sessions and objects, as an entry chooses them.

use routing::{AssignmentTable, LoadTracker, ServerDirectory, ServerKey};

use crate::state::PickRequest;

/// Divisor of a server's capacity that gives the number of the entry's own requests below which a server in the entry's
/// failure domain goes before all others. Smaller servers have none, because failure domains have unequal numbers of
/// entries and servers.
const LOCAL_LOAD_DIVISOR: u32 = 16;

/// Tables of the services, which are built anew when the directory has changed.
#[derive(Debug)]
pub(crate) struct HomeServers {
    failure_domain: String,
    /// State of the directory from which the tables were built.
    generation: u64,
    /// Tables by service, sorted by name.
    tables: Vec<(String, HomeTable)>,
}

/// The servers of one service.
#[derive(Debug)]
pub(crate) struct HomeTable {
    pub(crate) assignments: AssignmentTable,
    /// Servers in the entry's failure domain, with the number of its requests below which they go first; sorted.
    locals: Vec<(ServerKey, u32)>,
}

impl HomeTable {
    fn of_service(directory: &ServerDirectory, service: &str, failure_domain: &str) -> Self {
        let ready = directory.ready(service);
        let locals = ready.filter(|(_, server)| server.failure_domain == failure_domain);
        let mut locals: Vec<(ServerKey, u32)> = locals
            .map(|(key, server)| (key, server.capacity / LOCAL_LOAD_DIVISOR))
            .collect();
        locals.sort_unstable();
        Self {
            assignments: AssignmentTable::of_service(directory, service),
            locals,
        }
    }

    /// Returns whether a server is in the entry's failure domain and has few of its requests.
    fn is_light_local(&self, key: ServerKey, in_flight: u32) -> bool {
        let found = self.locals.binary_search_by_key(&key, |(local, _)| *local);
        found.is_ok_and(|index| in_flight < self.locals[index].1)
    }
}

impl HomeServers {
    /// Creates the tables of an entry in a failure domain.
    pub(crate) const fn new(failure_domain: String) -> Self {
        Self {
            failure_domain,
            generation: 0,
            tables: Vec::new(),
        }
    }

    /// Returns the table of a service for the present state of the directory.
    pub(crate) fn of_service(&mut self, directory: &ServerDirectory, service: &str) -> &mut HomeTable {
        if self.generation != directory.generation() {
            self.generation = directory.generation();
            self.tables.clear();
        }
        let found = self
            .tables
            .binary_search_by(|(name, _)| name.as_str().cmp(service));
        let index = found.unwrap_or_else(|index| {
            let table = HomeTable::of_service(directory, service, &self.failure_domain);
            self.tables.insert(index, (service.to_owned(), table));
            index
        });
        &mut self.tables[index].1
    }
}

/// Returns the home server of a request; `None` if it belongs to no session, object or program, or if every server has
/// been tried. A home in the entry's failure domain goes first while it has few requests, so that all entries of the
/// domain agree. `prefix_servers` are the only candidates for a prompt that begins with a prefix.
pub(crate) fn home_server(
    table: &HomeTable,
    loads: &LoadTracker,
    request: &PickRequest<'_>,
    prefix_servers: Option<&[ServerKey]>,
) -> Option<ServerKey> {
    let key = request.home_key()?;
    let may_take = |server: ServerKey| {
        let is_candidate = prefix_servers.is_none_or(|servers| servers.binary_search(&server).is_ok());
        is_candidate && !request.tried.contains(&server)
    };
    let load = |server: ServerKey| loads.in_flight(server);
    let is_local = |server: ServerKey| may_take(server) && table.is_light_local(server, load(server));
    let local = table.assignments.home(key, is_local);
    local.or_else(|| table.assignments.bounded_home(key, load, may_take))
}
