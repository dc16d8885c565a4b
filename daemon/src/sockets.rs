//! The UDP sockets of one border proxy. Received datagrams are passed to its loop; sending reports a full
//! socket buffer.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use border::{Outbound, Side};
use bytes::Bytes;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::backlog;
use crate::udp_timestamps;

/// Size of the receive buffer: the largest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Pause before a socket is read again after an error.
const READ_RETRY: Duration = Duration::from_millis(50);

/// An event on a socket.
pub enum Arrival {
    /// A datagram, with its receive time from the kernel.
    Datagram(Side, SocketAddr, Bytes, Instant),
    /// The network reported that nothing listens at this address (ICMP port unreachable).
    Refused(Side, SocketAddr),
}

/// The sockets of one border proxy.
pub struct Sockets {
    callers: Arc<UdpSocket>,
    peers: Option<Arc<UdpSocket>>,
    servers: HashMap<SocketAddr, Arc<UdpSocket>>,
    server_source: SocketAddr,
    receive_buffer: Option<usize>,
    arrivals: mpsc::Sender<Arrival>,
}

impl Sockets {
    /// Creates the set with the callers' and peers' sockets. `server_source` is the local address of the
    /// sockets to servers, one for each.
    pub fn new(
        callers: Arc<UdpSocket>,
        peers: Option<Arc<UdpSocket>>,
        server_source: SocketAddr,
        receive_buffer: Option<usize>,
        arrivals: mpsc::Sender<Arrival>,
    ) -> Self {
        Self { callers, peers, servers: HashMap::new(), server_source, receive_buffer, arrivals }
    }

    /// Binds a socket with receive timestamps.
    pub fn bind(address: SocketAddr, receive_buffer: Option<usize>) -> io::Result<UdpSocket> {
        let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
        if let Some(bytes) = receive_buffer {
            socket.set_recv_buffer_size(bytes)?;
        }
        socket.set_nonblocking(true)?;
        udp_timestamps::enable(&socket)?;
        socket.bind(&address.into())?;
        UdpSocket::from_std(socket.into())
    }

    /// Returns the server's own socket, connected, so that a refusal by the network identifies its server.
    fn server_socket(&mut self, peer: SocketAddr) -> io::Result<&Arc<UdpSocket>> {
        if !self.servers.contains_key(&peer) {
            let socket = Arc::new(Self::bind(self.server_source, self.receive_buffer)?);
            socket.as_ref().connect_now(peer)?;
            tokio::spawn(listen(socket.clone(), Side::Servers, Some(peer), self.arrivals.clone()));
            self.servers.insert(peer, socket);
        }
        Ok(&self.servers[&peer])
    }

    /// Sends a datagram; false if the socket's buffer is full.
    pub fn try_send(&mut self, datagram: &Outbound) -> bool {
        let sent = match datagram.side {
            Side::Callers => self.callers.try_send_to(&datagram.bytes, datagram.peer),
            Side::Peers => match &self.peers {
                Some(socket) => socket.try_send_to(&datagram.bytes, datagram.peer),
                None => return true,
            },
            Side::Servers => match self.server_socket(datagram.peer) {
                Ok(socket) => socket.try_send(&datagram.bytes),
                Err(error) => Err(error),
            },
        };
        match sent {
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused && datagram.side == Side::Servers => {
                // The error is about an earlier datagram; this one was not sent.
                let _ = self.arrivals.try_send(Arrival::Refused(Side::Servers, datagram.peer));
                true
            }
            Err(error) => {
                tracing::debug!(peer = %datagram.peer, "datagram.unsent: {error}");
                true
            }
            Ok(_) => true,
        }
    }

    /// Waits until a socket is writable; forever if none is given.
    pub async fn wait_writable(&self, key: Option<backlog::SocketKey>) -> io::Result<()> {
        match key {
            None => std::future::pending().await,
            Some((Side::Callers, _)) => self.callers.writable().await,
            Some((Side::Peers, _)) => match &self.peers {
                Some(socket) => socket.writable().await,
                None => Ok(()),
            },
            Some((Side::Servers, peer)) => match peer.and_then(|peer| self.servers.get(&peer)) {
                Some(socket) => socket.writable().await,
                None => Ok(()),
            },
        }
    }
}

/// Connects a datagram socket, which never blocks.
trait ConnectNow {
    fn connect_now(&self, peer: SocketAddr) -> io::Result<()>;
}

impl ConnectNow for UdpSocket {
    fn connect_now(&self, peer: SocketAddr) -> io::Result<()> {
        socket2::SockRef::from(self).connect(&peer.into())
    }
}

/// Reads a socket until the receiver of its datagrams is gone.
pub async fn listen(
    socket: Arc<UdpSocket>,
    side: Side,
    peer: Option<SocketAddr>,
    arrivals: mpsc::Sender<Arrival>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let arrival = match udp_timestamps::receive(&socket, &mut buffer).await {
            Ok((length, from, received_at)) => {
                Arrival::Datagram(side, from, Bytes::copy_from_slice(&buffer[..length]), received_at)
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => match peer {
                Some(peer) => Arrival::Refused(side, peer),
                None => continue,
            },
            Err(error) => {
                tracing::warn!(?side, "socket.broke: {error}");
                tokio::time::sleep(READ_RETRY).await;
                continue;
            }
        };
        if arrivals.send(arrival).await.is_err() {
            return;
        }
    }
}
