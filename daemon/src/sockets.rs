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
use crate::stamp;

/// Bytes of the largest datagram that is read.
const LARGEST: usize = 65_536;
/// A socket that broke is read again after this.
const RETRY: Duration = Duration::from_millis(50);

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
    from: SocketAddr,
    receive_buffer: Option<usize>,
    arrivals: mpsc::Sender<Arrival>,
}

impl Sockets {
    /// Those that are there at first; `from` is where servers are called from, each by a socket of its own.
    pub fn new(
        callers: Arc<UdpSocket>,
        peers: Option<Arc<UdpSocket>>,
        from: SocketAddr,
        receive_buffer: Option<usize>,
        arrivals: mpsc::Sender<Arrival>,
    ) -> Self {
        Self { callers, peers, servers: HashMap::new(), from, receive_buffer, arrivals }
    }

    /// A socket at an address, of which datagrams come with the system's word on when they came.
    pub fn bind(address: SocketAddr, receive_buffer: Option<usize>) -> io::Result<UdpSocket> {
        let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
        if let Some(bytes) = receive_buffer {
            socket.set_recv_buffer_size(bytes)?;
        }
        socket.set_nonblocking(true)?;
        stamp::ask(&socket)?;
        socket.bind(&address.into())?;
        UdpSocket::from_std(socket.into())
    }

    /// A socket of its own for each server, connected, so that a refusal by the network names its server.
    fn of_server(&mut self, peer: SocketAddr) -> io::Result<&Arc<UdpSocket>> {
        if !self.servers.contains_key(&peer) {
            let socket = Arc::new(Self::bind(self.from, self.receive_buffer)?);
            socket.as_ref().connect_now(peer)?;
            tokio::spawn(listen(socket.clone(), Side::Servers, Some(peer), self.arrivals.clone()));
            self.servers.insert(peer, socket);
        }
        Ok(&self.servers[&peer])
    }

    /// False where there was no room.
    pub fn try_send(&mut self, out: &Outbound) -> bool {
        let sent = match out.side {
            Side::Callers => self.callers.try_send_to(&out.bytes, out.peer),
            Side::Peers => match &self.peers {
                Some(socket) => socket.try_send_to(&out.bytes, out.peer),
                None => return true,
            },
            Side::Servers => match self.of_server(out.peer) {
                Ok(socket) => socket.try_send(&out.bytes),
                Err(error) => Err(error),
            },
        };
        match sent {
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused && out.side == Side::Servers => {
                // Told of an earlier datagram; this one was not sent.
                let _ = self.arrivals.try_send(Arrival::Refused(Side::Servers, out.peer));
                true
            }
            Err(error) => {
                tracing::debug!(peer = %out.peer, "datagram.unsent: {error}");
                true
            }
            Ok(_) => true,
        }
    }

    /// Waits for room in a socket.
    pub async fn room(&self, way: Option<backlog::Way>) -> io::Result<()> {
        match way {
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
pub async fn listen(socket: Arc<UdpSocket>, side: Side, peer: Option<SocketAddr>, to: mpsc::Sender<Arrival>) {
    let mut buffer = vec![0; LARGEST];
    loop {
        let arrival = match stamp::receive(&socket, &mut buffer).await {
            Ok((length, from, came)) => {
                Arrival::Datagram(side, from, Bytes::copy_from_slice(&buffer[..length]), came)
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => match peer {
                Some(peer) => Arrival::Refused(side, peer),
                None => continue,
            },
            Err(error) => {
                tracing::warn!(?side, "socket.broke: {error}");
                tokio::time::sleep(RETRY).await;
                continue;
            }
        };
        if to.send(arrival).await.is_err() {
            return;
        }
    }
}
