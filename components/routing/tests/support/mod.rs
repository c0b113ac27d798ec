//! Directories of backend servers for tests.

use std::net::{Ipv4Addr, SocketAddr};

use routing::{BackendServer, ServerDirectory, ServerState};

/// Service of all servers of [`fleet`].
pub const SERVICE: &str = "models";

/// Returns a directory of model servers with six slots each, in five failure domains.
pub fn fleet(servers: usize) -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    for (index, port) in (0..servers).zip(1..) {
        directory.upsert(BackendServer {
            name: format!("server-{index}"),
            started_at_ms: None,
            service: SERVICE.to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            failure_domain: format!("hall-{}", index % 5),
            software_version: "v1".to_owned(),
            capacity: 6,
            state: ServerState::Ready,
        });
    }
    directory
}
