//! The sockets of one border proxy: what comes on them is handed to its loop, what it sends goes out or is
//! told to have found no room.

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

/// Bytes of the largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// A socket that broke is read again after this.
const READ_RETRY: Duration = Duration::from_millis(50);

/// What came on a socket.
pub enum Arrival {
    /// With when it came, as the system says.
    Datagram(Side, SocketAddr, Bytes, Instant),
    /// The network told that nobody listens there.
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
    /// Those that are there at first; `from` is where servers are called from, each by a socket of its own.
    pub fn new(
        callers: Arc<UdpSocket>,
        peers: Option<Arc<UdpSocket>>,
        server_source: SocketAddr,
        receive_buffer: Option<usize>,
        arrivals: mpsc::Sender<Arrival>,
    ) -> Self {
        Self { callers, peers, servers: HashMap::new(), server_source, receive_buffer, arrivals }
    }

    /// A socket at an address, of which datagrams come with the system's word on when they came.
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

    /// A socket of its own for each server, connected, so that a refusal by the network names its server.
    fn server_socket(&mut self, peer: SocketAddr) -> io::Result<&Arc<UdpSocket>> {
        if !self.servers.contains_key(&peer) {
            let socket = Arc::new(Self::bind(self.server_source, self.receive_buffer)?);
            socket.as_ref().connect_now(peer)?;
            tokio::spawn(listen(socket.clone(), Side::Servers, Some(peer), self.arrivals.clone()));
            self.servers.insert(peer, socket);
        }
        Ok(&self.servers[&peer])
    }

    /// False where there was no room.
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
                // Told of an earlier datagram; this one was not sent.
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

    /// Waits for room in a socket.
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

/// Connecting a datagram socket needs no waiting.
trait ConnectNow {
    fn connect_now(&self, peer: SocketAddr) -> io::Result<()>;
}

impl ConnectNow for UdpSocket {
    fn connect_now(&self, peer: SocketAddr) -> io::Result<()> {
        socket2::SockRef::from(self).connect(&peer.into())
    }
}

/// Reads a socket for as long as anybody wants its datagrams.
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
