//! Connections of a running border proxy: what is read of them and when, what is still to be written, dials.
//! Nothing is decided here.
//!
//! [`Connections::add`] takes a connection up. An [`ConnectionEvent`] says that one has something to be read;
//! [`Connections::read`] then gives it, in the order in which it came, and [`Connections::read_now`] gives at any time what
//! has come by now, whether its arrival was told or not.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read};
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use platform::{ConnectionError, ConnectionId, QueuedAttempt};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;

/// Bytes read from a connection at a time, so that each gets its turn.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that wait for a connection which does not read; past that it is closed.
const MAX_OUTBOX_BYTES: usize = 256 * 1024;
/// A connection that was dismissed reads on for so long, and no more than so many bytes, so that what it was
/// told last is not lost with what it still sends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(2000);
const MAX_DISCARDED_BYTES: usize = 128 << 20;

/// What the tasks of connections tell; each has one untold arrival of a kind at most, so that they need no
/// bound.
pub enum ConnectionEvent {
    Connected(ConnectionId, TcpStream),
    /// It has something to be read, or has ended.
    Readable(ConnectionId),
    /// All that was to be written is written.
    OutboxEmpty(ConnectionId),
    Failed(ConnectionId, ConnectionError),
}

/// What a connection holds.
pub enum ReadResult {
    Bytes(Bytes),
    Nothing,
    /// Nothing more will come.
    End,
}

/// What is kept of one connection.
struct Connection {
    stream: Rc<TcpStream>,
    outbox: Rc<RefCell<BytesMut>>,
    /// There is something in the outbox.
    outbox_filled: Rc<Notify>,
    /// What was told as readable has been read, or the connection is dismissed.
    resume_reading: Rc<Notify>,
    flushing: Rc<Cell<bool>>,
    /// Attempts that wait until it takes what is written.
    queued_attempts: VecDeque<QueuedAttempt>,
    /// The attempt whose last bytes are in the outbox.
    partial_attempt: Option<QueuedAttempt>,
    tasks: [AbortHandle; 2],
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

pub struct Connections {
    connections: HashMap<ConnectionId, Connection>,
    dials: HashMap<ConnectionId, AbortHandle>,
    /// Tasks that were told to end, and hold their descriptors until they have a turn.
    aborted_tasks: Vec<AbortHandle>,
    events: mpsc::UnboundedSender<ConnectionEvent>,
}

impl Connections {
    pub fn new(events: mpsc::UnboundedSender<ConnectionEvent>) -> Self {
        Self { connections: HashMap::new(), dials: HashMap::new(), aborted_tasks: Vec::new(), events }
    }

    pub fn add(&mut self, conn: ConnectionId, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let stream = Rc::new(stream);
        let outbox = Rc::new(RefCell::new(BytesMut::new()));
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
            flushing,
            queued_attempts,
            partial_attempt,
            tasks,
        };
        self.connections.insert(conn, connection);
    }

    /// A dialled connection is up; false where nobody wants it any more.
    pub fn connected(&mut self, conn: ConnectionId, stream: TcpStream) -> bool {
        let wanted = self.dials.remove(&conn).is_some();
        if wanted {
            self.add(conn, stream);
        }
        wanted
    }

    pub fn close(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.connections.remove(&conn) {
            self.aborted_tasks.extend(connection.tasks.clone());
        }
        if let Some(dial) = self.dials.remove(&conn) {
            dial.abort();
            self.aborted_tasks.push(dial);
        }
    }

    /// Waits until what was closed holds no descriptor any more.
    pub async fn wait_closed(&mut self) {
        loop {
            self.aborted_tasks.retain(|task| !task.is_finished());
            if self.aborted_tasks.is_empty() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// What was told as readable; to be called once for each such arrival.
    pub fn read(&mut self, conn: ConnectionId) -> ReadResult {
        let Some(connection) = self.connections.get(&conn) else { return ReadResult::Nothing };
        connection.resume_reading.notify_one();
        if connection.flushing.get() {
            return ReadResult::Nothing;
        }
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        match connection.stream.try_read_buf(&mut buffer) {
            Ok(0) => ReadResult::End,
            // Copied, so that no buffer is held while the connection is idle.
            Ok(_) => ReadResult::Bytes(Bytes::copy_from_slice(&buffer)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => ReadResult::Nothing,
            Err(_) => ReadResult::End,
        }
    }

    /// What has come by now, asked of the system itself.
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
            Err(_) => ReadResult::End,
        }
    }

    /// False where the connection takes no more.
    #[must_use]
    pub fn write(&mut self, conn: ConnectionId, mut bytes: Bytes) -> bool {
        let Some(connection) = self.connections.get(&conn) else { return true };
        let mut outbox = connection.outbox.borrow_mut();
        while outbox.is_empty() && !bytes.is_empty() {
            match connection.stream.try_write(&bytes) {
                Ok(n) => bytes.advance(n),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // The reader hears of it too.
                Err(_) => return true,
            }
        }
        if bytes.is_empty() {
            return true;
        }
        if outbox.len() + bytes.len() > MAX_OUTBOX_BYTES {
            return false;
        }
        outbox.extend_from_slice(&bytes);
        connection.outbox_filled.notify_one();
        true
    }

    /// Whether something is still to be written.
    pub fn has_unwritten(&self, conn: ConnectionId) -> bool {
        self.connections.get(&conn).is_some_and(|connection| !connection.outbox.borrow().is_empty())
    }

    pub fn any_unwritten(&self) -> bool {
        self.connections.values().any(|connection| !connection.outbox.borrow().is_empty())
    }

    /// An attempt waits until the connection takes what is written.
    pub fn queue_attempt(&mut self, queued: QueuedAttempt) {
        if let Some(connection) = self.connections.get_mut(&queued.conn) {
            connection.queued_attempts.push_back(queued);
        }
    }

    /// An attempt has been written, whole or in part.
    pub fn attempt_written(&mut self, queued: QueuedAttempt) {
        if let Some(connection) = self.connections.get_mut(&queued.conn) {
            connection.partial_attempt = (!connection.outbox.borrow().is_empty()).then_some(queued);
        }
    }

    /// Whether the last bytes of an attempt are still to be written.
    pub fn is_partially_written(&self, queued: QueuedAttempt) -> bool {
        self.connections
            .get(&queued.conn)
            .is_some_and(|connection| connection.partial_attempt == Some(queued))
    }

    /// The connection has taken all that was written; gives the attempts that waited for that.
    pub fn outbox_emptied(&mut self, conn: ConnectionId) -> VecDeque<QueuedAttempt> {
        // Where more was written since, that comes first.
        let is_empty = |connection: &&mut Connection| connection.outbox.borrow().is_empty();
        let Some(connection) = self.connections.get_mut(&conn).filter(is_empty) else {
            return VecDeque::new();
        };
        connection.partial_attempt = None;
        std::mem::take(&mut connection.queued_attempts)
    }

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

    /// The connection ends once it has nothing more to send.
    pub fn flush_and_close(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.get(&conn) else { return };
        connection.flushing.set(true);
        connection.outbox_filled.notify_one();
        connection.resume_reading.notify_one();
    }

    /// Says on all connections that nothing more will be sent, and gives up what is on its way; what still
    /// comes is read and let fall, since a connection that is closed with bytes unread takes back what was
    /// just sent.
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

/// Tells when a connection can be read, once for each time that it has been.
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

/// Reads and lets fall what comes, until the other end closes or has sent too much.
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

/// Writes what found no room at once; a dismissed connection says no more after that.
async fn write_outbox(
    conn: ConnectionId,
    stream: Rc<TcpStream>,
    outbox: Rc<RefCell<BytesMut>>,
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
            match stream.try_write(&outbox) {
                Ok(n) => outbox.advance(n),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        *outbox.borrow_mut() = BytesMut::new();
        if had_unwritten {
            let _ = events.send(ConnectionEvent::OutboxEmpty(conn));
        }
        if flushing.get() {
            let _ = SockRef::from(&*stream).shutdown(Shutdown::Write);
            return;
        }
    }
}
