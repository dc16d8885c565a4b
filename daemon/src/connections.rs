//! TCP connections of a running border proxy: reads, pending writes and dials.
//! No decision is made here.
//!
//! [`Connections::add`] registers a connection. A [`ConnectionEvent`] reports that one is readable;
//! [`Connections::read`] then returns its bytes in order. [`Connections::read_now`] returns what has arrived
//! so far at any time, whether or not an event has reported it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use platform::{ConnectionError, ConnectionId, QueuedAttempt};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;

use crate::outbox::{Outbox, SharedLimit};

/// Bytes read from a connection at a time, so that no connection delays the others.
const READ_BUFFER_BYTES: usize = platform::MAX_READ_BYTES;
/// After its last write, a closing connection keeps reading and discarding for at most this time and
/// [`MAX_DISCARDED_BYTES`]: closing with unread bytes would reset the connection and lose that last write.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(2000);
const MAX_DISCARDED_BYTES: usize = 128 << 20;

/// An event from a connection's tasks. Each connection has at most one unhandled event of a kind, so the
/// channel needs no bound.
pub enum ConnectionEvent {
    /// A dial succeeded.
    Connected(ConnectionId, TcpStream),
    /// The connection has bytes to read, or was closed by the peer.
    Readable(ConnectionId),
    /// All pending bytes have been written.
    OutboxEmpty(ConnectionId),
    /// A dial failed, or the connection ended.
    Failed(ConnectionId, ConnectionError),
}

/// The result of reading a connection once.
pub enum ReadResult {
    Bytes(Bytes),
    Nothing,
    /// The peer closed the connection after its data.
    End,
    /// The connection was broken off.
    Failed,
}

/// One open connection with its tasks.
struct Connection {
    stream: Rc<TcpStream>,
    outbox: Rc<RefCell<Outbox>>,
    /// Signals the writing task that the outbox has bytes.
    outbox_filled: Rc<Notify>,
    /// Signals the reading task that a reported read was done, or that the connection is closing.
    resume_reading: Rc<Notify>,
    /// Whether a caller opened it; else it was dialled.
    is_caller: bool,
    /// The connection closes once the outbox is written.
    flushing: Rc<Cell<bool>>,
    /// Attempts that wait until the outbox is empty.
    queued_attempts: VecDeque<QueuedAttempt>,
    /// The attempt whose last bytes are still in the outbox.
    partial_attempt: Option<QueuedAttempt>,
    tasks: [AbortHandle; 2],
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// All connections and dials of a proxy.
pub struct Connections {
    connections: HashMap<ConnectionId, Connection>,
    dials: HashMap<ConnectionId, AbortHandle>,
    /// Aborted tasks; each holds its file descriptor until the runtime has dropped it.
    aborted_tasks: Vec<AbortHandle>,
    /// Unwritten bytes kept for all callers together.
    callers_limit: SharedLimit,
    events: mpsc::UnboundedSender<ConnectionEvent>,
}

impl Connections {
    /// Creates an empty set that reports to `events`, and keeps at most this many unwritten bytes for callers.
    pub fn new(events: mpsc::UnboundedSender<ConnectionEvent>, max_unread_bytes: usize) -> Self {
        Self {
            connections: HashMap::new(),
            dials: HashMap::new(),
            aborted_tasks: Vec::new(),
            callers_limit: SharedLimit::new(max_unread_bytes),
            events,
        }
    }

    /// Registers a connection that a caller has opened.
    pub fn add_caller(&mut self, conn: ConnectionId, stream: TcpStream) {
        self.add(conn, stream, true);
    }

    /// Registers an open connection and starts its tasks.
    fn add(&mut self, conn: ConnectionId, stream: TcpStream, is_caller: bool) {
        let _ = stream.set_nodelay(true);
        let stream = Rc::new(stream);
        let limit = is_caller.then(|| self.callers_limit.clone());
        let outbox = Rc::new(RefCell::new(Outbox::new(limit)));
        let (outbox_filled, resume_reading) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let flushing = Rc::new(Cell::new(false));
        let reading = watch_readable(
            conn,
            stream.clone(),
            resume_reading.clone(),
            flushing.clone(),
            self.events.clone(),
        );
        let (unwritten, events) = (outbox.clone(), self.events.clone());
        let writing =
            write_outbox(conn, stream.clone(), unwritten, outbox_filled.clone(), flushing.clone(), events);
        let reading = tokio::task::spawn_local(reading);
        let writing = tokio::task::spawn_local(writing);
        let tasks = [reading.abort_handle(), writing.abort_handle()];
        let (queued_attempts, partial_attempt) = (VecDeque::new(), None);
        let connection = Connection {
            stream,
            outbox,
            outbox_filled,
            resume_reading,
            is_caller,
            flushing,
            queued_attempts,
            partial_attempt,
            tasks,
        };
        self.connections.insert(conn, connection);
    }

    /// Registers a dialled connection; false if the dial was closed meanwhile.
    pub fn connected(&mut self, conn: ConnectionId, stream: TcpStream) -> bool {
        let wanted = self.dials.remove(&conn).is_some();
        if wanted {
            self.add(conn, stream, false);
        }
        wanted
    }

    /// Closes a connection or cancels its dial.
    pub fn close(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.connections.remove(&conn) {
            self.aborted_tasks.extend(connection.tasks.clone());
        }
        if let Some(dial) = self.dials.remove(&conn) {
            dial.abort();
            self.aborted_tasks.push(dial);
        }
    }

    /// Waits until closed connections have released their file descriptors.
    pub async fn wait_closed(&mut self) {
        loop {
            self.aborted_tasks.retain(|task| !task.is_finished());
            if self.aborted_tasks.is_empty() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Reads once; call exactly once per [`ConnectionEvent::Readable`].
    pub fn read(&mut self, conn: ConnectionId) -> ReadResult {
        let Some(connection) = self.connections.get(&conn) else { return ReadResult::Nothing };
        connection.resume_reading.notify_one();
        if connection.flushing.get() {
            return ReadResult::Nothing;
        }
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        match connection.stream.try_read_buf(&mut buffer) {
            Ok(0) => ReadResult::End,
            // Copied, so that an idle connection holds no buffer.
            Ok(_) => ReadResult::Bytes(Bytes::copy_from_slice(&buffer)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => ReadResult::Nothing,
            Err(_) => ReadResult::Failed,
        }
    }

    /// Reads what has arrived so far straight from the socket, without waiting for an event.
    pub fn read_now(&self, conn: ConnectionId) -> ReadResult {
        let connection = self.connections.get(&conn).filter(|connection| !connection.flushing.get());
        let Some(connection) = connection else { return ReadResult::Nothing };
        let mut buffer = [0; READ_BUFFER_BYTES];
        match (&*SockRef::from(&*connection.stream)).read(&mut buffer) {
            Ok(0) => ReadResult::End,
            Ok(n) => ReadResult::Bytes(Bytes::copy_from_slice(&buffer[..n])),
            Err(error) if [ErrorKind::WouldBlock, ErrorKind::Interrupted].contains(&error.kind()) => {
                ReadResult::Nothing
            }
            Err(_) => ReadResult::Failed,
        }
    }

    /// Whether a caller has closed its connection, although data may be unread that it sent before.
    pub fn has_caller_left(&self, conn: ConnectionId) -> bool {
        let connection = self.connections.get(&conn).filter(|connection| connection.is_caller);
        let Some(connection) = connection else { return false };
        let closed_by_peer = PollFlags::from_bits_retain(nix::libc::POLLRDHUP);
        let mut polled = [PollFd::new(connection.stream.as_fd(), closed_by_peer)];
        // The library has no name for this event, and so returns None where it is among those that have occurred.
        poll(&mut polled, PollTimeout::ZERO).is_ok_and(|count| count > 0) && polled[0].revents().is_none()
    }

    /// Writes or queues bytes; false if the limit of unwritten bytes would be exceeded.
    #[must_use]
    pub fn write(&mut self, conn: ConnectionId, mut bytes: Bytes) -> bool {
        let Some(connection) = self.connections.get(&conn) else { return true };
        let is_empty = connection.outbox.borrow().is_empty();
        while is_empty && !bytes.is_empty() {
            match connection.stream.try_write(&bytes) {
                Ok(n) => bytes.advance(n),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // The reading task reports the failure.
                Err(_) => return true,
            }
        }
        if bytes.is_empty() {
            return true;
        }
        let has_room = connection.outbox.borrow_mut().add(&bytes);
        connection.outbox_filled.notify_one();
        has_room
    }

    /// Whether a connection has bytes still to be written.
    pub fn has_unwritten(&self, conn: ConnectionId) -> bool {
        self.connections.get(&conn).is_some_and(|connection| !connection.outbox.borrow().is_empty())
    }

    /// Whether any connection has bytes still to be written.
    pub fn any_unwritten(&self) -> bool {
        self.connections.values().any(|connection| !connection.outbox.borrow().is_empty())
    }

    /// Queues an attempt until the connection's outbox is empty.
    pub fn queue_attempt(&mut self, queued: QueuedAttempt) {
        if let Some(connection) = self.connections.get_mut(&queued.conn) {
            connection.queued_attempts.push_back(queued);
        }
    }

    /// Notes that an attempt was passed to [`Connections::write`], and is partly unwritten if the outbox
    /// holds bytes.
    pub fn attempt_written(&mut self, queued: QueuedAttempt) {
        if let Some(connection) = self.connections.get_mut(&queued.conn) {
            connection.partial_attempt = (!connection.outbox.borrow().is_empty()).then_some(queued);
        }
    }

    /// Whether the last bytes of an attempt are still in the outbox.
    pub fn is_partially_written(&self, queued: QueuedAttempt) -> bool {
        self.connections
            .get(&queued.conn)
            .is_some_and(|connection| connection.partial_attempt == Some(queued))
    }

    /// Takes the attempts that waited for the outbox to empty.
    pub fn outbox_emptied(&mut self, conn: ConnectionId) -> VecDeque<QueuedAttempt> {
        // Bytes written since the event come first: the attempts go on waiting.
        let is_empty = |connection: &&mut Connection| connection.outbox.borrow().is_empty();
        let Some(connection) = self.connections.get_mut(&conn).filter(is_empty) else {
            return VecDeque::new();
        };
        connection.partial_attempt = None;
        std::mem::take(&mut connection.queued_attempts)
    }

    /// Starts a dial; its result arrives as an event.
    pub fn dial(&mut self, conn: ConnectionId, address: SocketAddr, timeout_ms: f64) {
        let events = self.events.clone();
        let dial = tokio::task::spawn_local(async move {
            let timeout = Duration::from_secs_f64(timeout_ms / 1000.0);
            let event = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => ConnectionEvent::Connected(conn, stream),
                Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                    ConnectionEvent::Failed(conn, ConnectionError::Refused)
                }
                Ok(Err(_)) => ConnectionEvent::Failed(conn, ConnectionError::Closed),
                Err(_) => ConnectionEvent::Failed(conn, ConnectionError::TimedOut),
            };
            let _ = events.send(event);
        });
        self.dials.insert(conn, dial.abort_handle());
    }

    /// Closes a connection once its outbox is written.
    pub fn flush_and_close(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.get(&conn) else { return };
        connection.flushing.set(true);
        connection.outbox_filled.notify_one();
        connection.resume_reading.notify_one();
    }

    /// Cancels all dials and shuts down the writing side of all connections. Incoming bytes are read and
    /// discarded for at most `timeout` in all, since closing a connection with unread bytes resets it and
    /// loses what was just sent.
    pub async fn shut_down(&mut self, timeout: Duration) {
        self.dials.drain().for_each(|(_, dial)| dial.abort());
        for connection in self.connections.values() {
            let _ = SockRef::from(&*connection.stream).shutdown(Shutdown::Write);
        }
        let deadline = tokio::time::Instant::now() + timeout;
        let conns: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for conn in conns {
            let stream = self.connections[&conn].stream.clone();
            let _ = tokio::time::timeout_at(deadline, discard(&stream)).await;
        }
    }
}

/// Reports a connection as readable, once after each read.
async fn watch_readable(
    conn: ConnectionId,
    stream: Rc<TcpStream>,
    resume_reading: Rc<Notify>,
    flushing: Rc<Cell<bool>>,
    events: mpsc::UnboundedSender<ConnectionEvent>,
) {
    while !flushing.get() {
        tokio::select! {
            readable = stream.readable() => if readable.is_err() {
                break;
            },
            () = resume_reading.notified() => continue,
        }
        if events.send(ConnectionEvent::Readable(conn)).is_err() {
            return;
        }
        resume_reading.notified().await;
    }
    if flushing.get() {
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, discard(&stream)).await;
    }
    let _ = events.send(ConnectionEvent::Failed(conn, ConnectionError::Closed));
}

/// Reads and discards bytes until the peer closes or [`MAX_DISCARDED_BYTES`] is exceeded.
async fn discard(stream: &TcpStream) {
    let mut discarded = 0;
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut [0; READ_BUFFER_BYTES]) {
            Ok(0) => return,
            Ok(n) => discarded += n,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
        if discarded > MAX_DISCARDED_BYTES {
            return;
        }
        tokio::task::yield_now().await;
    }
}

/// Writes the outbox as the socket accepts it; then shuts down a closing connection's writing side.
async fn write_outbox(
    conn: ConnectionId,
    stream: Rc<TcpStream>,
    outbox: Rc<RefCell<Outbox>>,
    outbox_filled: Rc<Notify>,
    flushing: Rc<Cell<bool>>,
    events: mpsc::UnboundedSender<ConnectionEvent>,
) {
    loop {
        outbox_filled.notified().await;
        let had_unwritten = !outbox.borrow().is_empty();
        while !outbox.borrow().is_empty() {
            if stream.writable().await.is_err() {
                return;
            }
            let mut outbox = outbox.borrow_mut();
            match stream.try_write(outbox.bytes()) {
                Ok(n) => outbox.written(n),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        if had_unwritten {
            let _ = events.send(ConnectionEvent::OutboxEmpty(conn));
        }
        if flushing.get() {
            let _ = SockRef::from(&*stream).shutdown(Shutdown::Write);
            return;
        }
    }
}
