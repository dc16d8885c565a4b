//! UDP datagrams with the kernel's receive timestamps: a process that was not scheduled for a while learns
//! how long each datagram has waited. [`enable`] turns timestamps on, [`receive`] reads one datagram.

use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::socket::{ControlMessageOwned, MsgFlags, SockaddrStorage, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;
use socket2::Socket;
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Turns on receive timestamps for a socket.
pub fn enable(socket: &Socket) -> io::Result<()> {
    Ok(setsockopt(socket, sockopt::ReceiveTimestampns, &true)?)
}

/// Waits for a datagram; returns its length, its sender and when it was received, which is now if the kernel
/// gave no timestamp.
pub async fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr, Instant)> {
    socket.async_io(Interest::READABLE, || read(socket, buffer)).await
}

fn read(socket: &UdpSocket, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr, Instant)> {
    let mut buffers = [IoSliceMut::new(buffer)];
    let mut control_space = nix::cmsg_space!(TimeSpec);
    let flags = MsgFlags::empty();
    let message =
        recvmsg::<SockaddrStorage>(socket.as_raw_fd(), &mut buffers, Some(&mut control_space), flags)?;
    let timestamp = message.cmsgs()?.find_map(|control| match control {
        ControlMessageOwned::ScmTimestampns(timestamp) => Some(timestamp),
        _ => None,
    });
    let from = message.address.as_ref().and_then(socket_address).ok_or(io::ErrorKind::InvalidData)?;
    Ok((message.bytes, from, received_at(timestamp)))
}

fn socket_address(address: &SockaddrStorage) -> Option<SocketAddr> {
    let v4 = address.as_sockaddr_in().map(|address| SocketAddr::V4((*address).into()));
    v4.or_else(|| address.as_sockaddr_in6().map(|address| SocketAddr::V6((*address).into())))
}

/// Converts a kernel timestamp to an instant; now if there is none or it lies in the future.
fn received_at(timestamp: Option<TimeSpec>) -> Instant {
    let (now, unix_now) = (Instant::now(), SystemTime::now());
    let age =
        timestamp.and_then(|timestamp| unix_now.duration_since(UNIX_EPOCH + Duration::from(timestamp)).ok());
    age.and_then(|age| now.checked_sub(age)).unwrap_or(now)
}
