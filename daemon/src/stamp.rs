//! Datagrams with the time at which the system had them: a proxy that had no turn for a while learns how long
//! each one has waited. [`ask`] has a socket tell it, [`receive`] reads one.

use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::socket::{ControlMessageOwned, MsgFlags, SockaddrStorage, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;
use socket2::Socket;
use tokio::io::Interest;
use tokio::net::UdpSocket;

pub fn ask(socket: &Socket) -> io::Result<()> {
    Ok(setsockopt(socket, sockopt::ReceiveTimestampns, &true)?)
}

/// Waits for a datagram: its length, who sent it, and when it came; now where the system does not say.
pub async fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr, Instant)> {
    socket.async_io(Interest::READABLE, || read(socket, buffer)).await
}

fn read(socket: &UdpSocket, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr, Instant)> {
    let mut parts = [IoSliceMut::new(buffer)];
    let mut space = nix::cmsg_space!(TimeSpec);
    let flags = MsgFlags::empty();
    let message = recvmsg::<SockaddrStorage>(socket.as_raw_fd(), &mut parts, Some(&mut space), flags)?;
    let stamp = message.cmsgs()?.find_map(|of| match of {
        ControlMessageOwned::ScmTimestampns(stamp) => Some(stamp),
        _ => None,
    });
    let from = message.address.as_ref().and_then(address).ok_or(io::ErrorKind::InvalidData)?;
    Ok((message.bytes, from, came(stamp)))
}

fn address(of: &SockaddrStorage) -> Option<SocketAddr> {
    let v4 = of.as_sockaddr_in().map(|of| SocketAddr::V4((*of).into()));
    v4.or_else(|| of.as_sockaddr_in6().map(|of| SocketAddr::V6((*of).into())))
}

fn came(stamp: Option<TimeSpec>) -> Instant {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let ago = stamp.and_then(|stamp| wall.duration_since(UNIX_EPOCH + Duration::from(stamp)).ok());
    ago.and_then(|ago| now.checked_sub(ago)).unwrap_or(now)
}
