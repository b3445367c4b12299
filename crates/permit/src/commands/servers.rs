//! Adds and updates the servers of a pool.

use {
    crate::{Pool, Server},
    std::net::SocketAddr,
    types::ServerIndex,
};

/// Adds a server, or updates its address, data centre and slots; returns its index and whether it is new. A changed
/// number of slots ends the server's warm-up.
pub fn upsert_server(
    pool: &mut Pool,
    name: &str,
    address: SocketAddr,
    data_centre: &str,
    slots: u32,
) -> (ServerIndex, bool) {
    let index = pool.names.intern(name);
    let Some(server) = pool.servers.get_mut(index) else {
        return (
            pool.servers.push(Server::new(address, data_centre, slots)),
            true,
        );
    };
    server.address = address;
    data_centre.clone_into(&mut server.data_centre);
    if server.slots != slots {
        server.slots = slots;
        server.usable_slots = slots;
    }
    (index, false)
}
