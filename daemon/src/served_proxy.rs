//! A border proxy of the platform's protocol with its sockets: performs its actions and reports to it what
//! arrives. No decision is made here.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use border::pool::PoolUpdates;
use platform::{Action, Border, ConnectionError, ConnectionId, QueuedAttempt};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::changelog_client::ChangelogClient;
use crate::clock::{Clock, unix_ms};
use crate::connections::{ConnectionEvent, Connections, ReadResult};

/// Callers' connections accepted in one turn of the loop.
const MAX_ACCEPTED_PER_TURN: usize = 16;
/// Reads of one connection in a row.
const MAX_READS: usize = 4;

/// The proxy with its sockets.
pub struct ServedProxy {
    pub border: Border,
    pub connections: Connections,
    pub changelog: ChangelogClient,
    peers: Option<(UdpSocket, SocketAddr)>,
    pub clock: Clock,
    /// Attempts that wait until the change log has been read.
    held_attempts: VecDeque<QueuedAttempt>,
}

impl ServedProxy {
    /// Creates a proxy without connections. `peers` is the socket for other proxies and their broadcast address.
    pub fn new(
        border: Border,
        connections: Connections,
        changelog: ChangelogClient,
        peers: Option<(UdpSocket, SocketAddr)>,
        clock: Clock,
    ) -> Self {
        Self { border, connections, changelog, peers, clock, held_attempts: VecDeque::new() }
    }

    /// Reads and applies all that the change log has sent. So after a stall of the process its news is known
    /// before the set-ups that waited with it are decided.
    pub async fn read_changelog(&mut self) {
        self.changelog.catch_up().await;
        while let Some(update) = self.changelog.take_update() {
            self.apply_update(&update);
        }
    }

    /// Applies an update of the server list.
    fn apply_update(&mut self, update: &PoolUpdates) {
        tracing::debug!(version = update.version, whole = update.whole, "changelog.news");
        if let Err(error) = self.border.update_server_list(self.clock.now(), unix_ms(), update) {
            tracing::warn!("changelog.unfit: {error}");
            self.changelog.request_again();
        }
        self.changelog.set_applied(self.border.last_seq());
    }

    /// Performs all pending actions. Attempts for which the change log has to be read first are sent after that.
    pub async fn perform_all_actions(&mut self) {
        self.perform_actions();
        while !self.held_attempts.is_empty() {
            self.read_changelog().await;
            self.border.run_pending();
            for queued in std::mem::take(&mut self.held_attempts) {
                self.write_attempt(queued);
            }
            self.border.run_pending();
            self.perform_actions();
        }
    }

    /// Performs the pending actions, and those that follow from what they report.
    fn perform_actions(&mut self) {
        loop {
            let mut reported = false;
            while let Some(action) = self.border.next_action() {
                reported |= self.perform(action);
            }
            if !reported {
                return;
            }
            self.border.run_pending();
        }
    }

    /// Performs an action; true if something was reported to the border.
    fn perform(&mut self, action: Action) -> bool {
        match action {
            Action::Dial { conn, address, timeout } => self.connections.dial(conn, address, timeout),
            Action::Write { conn, bytes } => {
                if !self.connections.write(conn, bytes) {
                    return self.fail_connection(conn, ConnectionError::Reset);
                }
            }
            Action::SendAttempt(queued) => return self.send_attempt(queued),
            Action::Cancel { attempt: queued, bytes } => {
                // A partly written attempt can't be cancelled by a message: the connection is closed, so that
                // the attempt never reaches the server whole.
                if self.connections.is_partially_written(queued)
                    || !self.connections.write(queued.conn, bytes)
                {
                    return self.fail_connection(queued.conn, ConnectionError::Reset);
                }
            }
            Action::Evict { conn } => {
                self.read_all(conn);
                self.border.evict(self.clock.now(), conn);
                return true;
            }
            Action::Close { conn } => self.connections.close(conn),
            Action::FlushAndClose { conn } => self.connections.flush_and_close(conn),
            Action::Broadcast { bytes } => {
                if let Some((socket, all)) = &self.peers {
                    let _ = socket.try_send_to(&bytes, *all);
                }
            }
        }
        false
    }

    /// Closes a connection and reports its failure; always true.
    fn fail_connection(&mut self, conn: ConnectionId, error: ConnectionError) -> bool {
        self.connections.close(conn);
        self.border.connection_failed(self.clock.now(), conn, error);
        true
    }

    /// Sends an attempt, unless the change log has sent something that may concern it; true if something was
    /// reported.
    fn send_attempt(&mut self, queued: QueuedAttempt) -> bool {
        if self.changelog.has_unread() {
            self.held_attempts.push_back(queued);
            return false;
        }
        self.write_attempt(queued)
    }

    /// Writes an attempt, unless its connection has unwritten bytes or its caller has gone; true if something
    /// was reported.
    fn write_attempt(&mut self, queued: QueuedAttempt) -> bool {
        if self.connections.has_unwritten(queued.conn) {
            self.connections.queue_attempt(queued);
            return false;
        }
        self.notice_departure(queued.caller);
        let reported = self.read_all(queued.caller);
        let Some(bytes) = self.border.send_attempt(self.clock.now(), queued) else { return true };
        if !self.connections.write(queued.conn, bytes) {
            return self.fail_connection(queued.conn, ConnectionError::Reset);
        }
        self.connections.attempt_written(queued);
        reported
    }

    /// Reads a connection up to [`MAX_READS`] times; true if something was reported.
    fn read_all(&mut self, conn: ConnectionId) -> bool {
        let mut reported = false;
        for _ in 0..MAX_READS {
            let result = self.connections.read_now(conn);
            if !self.handle_read(conn, result) {
                break;
            }
            reported = true;
        }
        reported
    }

    /// Reports if a caller has closed its connection, before what it had sent is read.
    fn notice_departure(&mut self, conn: ConnectionId) {
        if self.connections.has_caller_left(conn) {
            self.border.caller_left(self.clock.now(), conn);
        }
    }

    /// Reports the result of a read; false if there was nothing to report.
    fn handle_read(&mut self, conn: ConnectionId, result: ReadResult) -> bool {
        match result {
            ReadResult::Bytes(bytes) => {
                self.notice_departure(conn);
                self.border.receive(self.clock.now(), conn, &bytes);
            }
            ReadResult::Nothing => return false,
            ReadResult::End => return self.fail_connection(conn, ConnectionError::Closed),
            ReadResult::Failed => return self.fail_connection(conn, ConnectionError::Reset),
        }
        true
    }

    /// Handles an event of a connection.
    pub fn handle_event(&mut self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Connected(conn, stream) => {
                if self.connections.connected(conn, stream) {
                    self.border.connected(self.clock.now(), conn);
                }
            }
            ConnectionEvent::Readable(conn) => {
                let result = self.connections.read(conn);
                self.handle_read(conn, result);
            }
            ConnectionEvent::OutboxEmpty(conn) => {
                for queued in self.connections.outbox_emptied(conn) {
                    self.send_attempt(queued);
                }
            }
            ConnectionEvent::Failed(conn, error) => {
                self.fail_connection(conn, error);
            }
        }
    }

    /// Takes over the connection of a caller.
    pub fn add_caller(&mut self, stream: TcpStream, from: SocketAddr) {
        let conn = self.border.caller_connected(self.clock.now(), from.ip());
        self.connections.add_caller(conn, stream);
    }

    /// Accepts waiting callers, up to [`MAX_ACCEPTED_PER_TURN`]; returns how many.
    pub fn accept_callers(&mut self, listener: &TcpListener) -> io::Result<usize> {
        for accepted in 0..MAX_ACCEPTED_PER_TURN {
            match SockRef::from(listener).accept() {
                Ok((socket, from)) => {
                    socket.set_nonblocking(true)?;
                    let from = from.as_socket().unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)));
                    self.add_caller(TcpStream::from_std(socket.into())?, from);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(accepted),
                // The caller disconnected before it was accepted.
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(MAX_ACCEPTED_PER_TURN)
    }

    /// Whether nothing is left to do. Reads each caller's connection, since arrived bytes may not have been
    /// reported yet. With `release_wait_over`, pending releases and unwritten bytes no longer count.
    pub fn is_done(&mut self, listener: &TcpListener, release_wait_over: bool) -> bool {
        let mut reported = self.accept_callers(listener).is_ok_and(|accepted| accepted > 0);
        for conn in self.border.caller_connections() {
            reported |= self.read_all(conn);
        }
        if reported {
            self.border.run_pending();
            self.perform_actions();
        }
        let unsent = self.border.pending_releases() > 0 || self.connections.any_unwritten();
        !reported && self.border.open_set_ups() == 0 && (release_wait_over || !unsent)
    }
}
