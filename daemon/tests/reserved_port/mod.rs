//! A port for a process that a test starts. A port that is only looked up and let go again may be given to another test
//! before the process listens on it.

use std::net::SocketAddr;

use socket2::{Domain, Socket, Type};

/// A port that the kernel gives to nobody else. A process that sets SO_REUSEADDR can listen on it meanwhile.
pub struct ReservedPort {
    pub address: SocketAddr,
    _bound: Socket,
}

impl ReservedPort {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("set");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        let address = socket.local_addr().expect("bound").as_socket().expect("an IP address");
        Self { address, _bound: socket }
    }
}
