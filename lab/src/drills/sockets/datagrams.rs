//! Datagram sockets on the loopback address.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

const RECEIVE_BUFFER_BYTES: usize = 4 << 20;
/// The largest datagram there can be, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 65_536;

/// A socket at the address, with room for bursts.
pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

/// The loopback address, with a port from the kernel.
pub fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Hands on each datagram until `deliver` says that nobody is there for it.
pub(super) async fn read(socket: Arc<UdpSocket>, deliver: impl Fn(SocketAddr, Bytes) -> bool) {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(MAX_DATAGRAM_BYTES);
        // A refusal tells of a proxy that is down; its callers and servers find out by themselves.
        let Ok((_, from)) = socket.recv_buf_from(&mut buffer).await else { continue };
        if !deliver(from, buffer.split().freeze()) {
            return;
        }
    }
}
