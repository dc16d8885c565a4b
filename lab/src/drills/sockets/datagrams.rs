//! Datagram sockets on the loopback address.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

const RECEIVE_BUFFER_BYTES: usize = 4 << 20;
/// The largest possible datagram.
pub const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Opens a socket with a receive buffer that is large enough for bursts.
pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

/// The loopback address, with a port chosen by the kernel.
pub fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Passes each datagram to `deliver` until that returns false.
pub(super) async fn read(socket: Arc<UdpSocket>, deliver: impl Fn(SocketAddr, Bytes) -> bool) {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(MAX_DATAGRAM_BYTES);
        // An error here reports that a proxy is down; its callers and servers detect that themselves.
        let Ok((_, from)) = socket.recv_buf_from(&mut buffer).await else { continue };
        if !deliver(from, buffer.split().freeze()) {
            return;
        }
    }
}
