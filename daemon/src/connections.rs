//! Connections of a running border proxy: what is read of them and when, what is still to be written, dials.
//! Nothing is decided here.
//!
//! [`Wires::add`] takes a connection up. An [`Arrival`] says that one has something to be read;
//! [`Wires::read`] then gives it, in the order in which it came, and [`Wires::look`] gives at any time what
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
const READ: usize = 16 * 1024;
/// Bytes that wait for a connection which does not read; past that it is closed.
const OUTBOX: usize = 256 * 1024;
/// A connection that was dismissed reads on for so long, and no more than so many bytes, so that what it was
/// told last is not lost with what it still sends.
const DISMISSED: Duration = Duration::from_millis(2000);
const DISCARDED: usize = 128 << 20;

/// What the tasks of connections tell; each has one untold arrival of a kind at most, so that they need no
/// bound.
pub enum Arrival {
    Up(ConnectionId, TcpStream),
    /// It has something to be read, or has ended.
    Readable(ConnectionId),
    /// All that was to be written is written.
    Drained(ConnectionId),
    Broke(ConnectionId, ConnectionError),
}

/// What a connection holds.
pub enum Found {
    Bytes(Bytes),
    Nothing,
    /// Nothing more will come.
    End,
}

/// What is kept of one connection.
struct Wire {
    stream: Rc<TcpStream>,
    outbox: Rc<RefCell<BytesMut>>,
    /// There is something in the outbox.
    filled: Rc<Notify>,
    /// What was told as readable has been read, or the connection is dismissed.
    read_on: Rc<Notify>,
    dismissed: Rc<Cell<bool>>,
    /// Attempts that wait until it takes what is written.
    waiting: VecDeque<QueuedAttempt>,
    /// The attempt whose last bytes are in the outbox.
    unfinished: Option<QueuedAttempt>,
    tasks: [AbortHandle; 2],
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

pub struct Wires {
    wires: HashMap<ConnectionId, Wire>,
    dials: HashMap<ConnectionId, AbortHandle>,
    /// Tasks that were told to end, and hold their descriptors until they have a turn.
    ending: Vec<AbortHandle>,
    arrivals: mpsc::UnboundedSender<Arrival>,
}

impl Wires {
    pub fn new(arrivals: mpsc::UnboundedSender<Arrival>) -> Self {
        Self { wires: HashMap::new(), dials: HashMap::new(), ending: Vec::new(), arrivals }
    }

    pub fn add(&mut self, conn: ConnectionId, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let stream = Rc::new(stream);
        let outbox = Rc::new(RefCell::new(BytesMut::new()));
        let (filled, read_on) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let dismissed = Rc::new(Cell::new(false));
        let reading = watch(conn, stream.clone(), read_on.clone(), dismissed.clone(), self.arrivals.clone());
        let (out, arrivals) = (outbox.clone(), self.arrivals.clone());
        let writing = write(conn, stream.clone(), out, filled.clone(), dismissed.clone(), arrivals);
        let reading = tokio::task::spawn_local(reading);
        let writing = tokio::task::spawn_local(writing);
        let tasks = [reading.abort_handle(), writing.abort_handle()];
        let (waiting, unfinished) = (VecDeque::new(), None);
        let wire = Wire { stream, outbox, filled, read_on, dismissed, waiting, unfinished, tasks };
        self.wires.insert(conn, wire);
    }

    /// A dialled connection is up; false where nobody wants it any more.
    pub fn up(&mut self, conn: ConnectionId, stream: TcpStream) -> bool {
        let wanted = self.dials.remove(&conn).is_some();
        if wanted {
            self.add(conn, stream);
        }
        wanted
    }

    pub fn close(&mut self, conn: ConnectionId) {
        if let Some(wire) = self.wires.remove(&conn) {
            self.ending.extend(wire.tasks.clone());
        }
        if let Some(dial) = self.dials.remove(&conn) {
            dial.abort();
            self.ending.push(dial);
        }
    }

    /// Waits until what was closed holds no descriptor any more.
    pub async fn closed(&mut self) {
        loop {
            self.ending.retain(|task| !task.is_finished());
            if self.ending.is_empty() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// What was told as readable; to be called once for each such arrival.
    pub fn read(&mut self, conn: ConnectionId) -> Found {
        let Some(wire) = self.wires.get(&conn) else { return Found::Nothing };
        wire.read_on.notify_one();
        if wire.dismissed.get() {
            return Found::Nothing;
        }
        let mut buffer = BytesMut::with_capacity(READ);
        match wire.stream.try_read_buf(&mut buffer) {
            Ok(0) => Found::End,
            // Copied, so that no buffer is held while the connection is idle.
            Ok(_) => Found::Bytes(Bytes::copy_from_slice(&buffer)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Found::Nothing,
            Err(_) => Found::End,
        }
    }

    /// What has come by now, asked of the system itself.
    pub fn look(&self, conn: ConnectionId) -> Found {
        let wire = self.wires.get(&conn).filter(|wire| !wire.dismissed.get());
        let Some(wire) = wire else { return Found::Nothing };
        let mut buffer = [0; READ];
        match (&*SockRef::from(&*wire.stream)).read(&mut buffer) {
            Ok(0) => Found::End,
            Ok(n) => Found::Bytes(Bytes::copy_from_slice(&buffer[..n])),
            Err(error) if [ErrorKind::WouldBlock, ErrorKind::Interrupted].contains(&error.kind()) => {
                Found::Nothing
            }
            Err(_) => Found::End,
        }
    }

    /// False where the connection takes no more.
    #[must_use]
    pub fn write(&mut self, conn: ConnectionId, mut bytes: Bytes) -> bool {
        let Some(wire) = self.wires.get(&conn) else { return true };
        let mut outbox = wire.outbox.borrow_mut();
        while outbox.is_empty() && !bytes.is_empty() {
            match wire.stream.try_write(&bytes) {
                Ok(n) => bytes.advance(n),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // The reader hears of it too.
                Err(_) => return true,
            }
        }
        if bytes.is_empty() {
            return true;
        }
        if outbox.len() + bytes.len() > OUTBOX {
            return false;
        }
        outbox.extend_from_slice(&bytes);
        wire.filled.notify_one();
        true
    }

    /// Whether something is still to be written.
    pub fn is_choked(&self, conn: ConnectionId) -> bool {
        self.wires.get(&conn).is_some_and(|wire| !wire.outbox.borrow().is_empty())
    }

    pub fn is_any_choked(&self) -> bool {
        self.wires.values().any(|wire| !wire.outbox.borrow().is_empty())
    }

    /// An attempt waits until the connection takes what is written.
    pub fn wait_with(&mut self, set_up: QueuedAttempt) {
        if let Some(wire) = self.wires.get_mut(&set_up.conn) {
            wire.waiting.push_back(set_up);
        }
    }

    /// An attempt has been written, whole or in part.
    pub fn written(&mut self, set_up: QueuedAttempt) {
        if let Some(wire) = self.wires.get_mut(&set_up.conn) {
            wire.unfinished = (!wire.outbox.borrow().is_empty()).then_some(set_up);
        }
    }

    /// Whether the last bytes of an attempt are still to be written.
    pub fn is_unfinished(&self, set_up: QueuedAttempt) -> bool {
        self.wires.get(&set_up.conn).is_some_and(|wire| wire.unfinished == Some(set_up))
    }

    /// The connection has taken all that was written; gives the attempts that waited for that.
    pub fn drained(&mut self, conn: ConnectionId) -> VecDeque<QueuedAttempt> {
        // Where more was written since, that comes first.
        let drained = |wire: &&mut Wire| wire.outbox.borrow().is_empty();
        let Some(wire) = self.wires.get_mut(&conn).filter(drained) else { return VecDeque::new() };
        wire.unfinished = None;
        std::mem::take(&mut wire.waiting)
    }

    pub fn dial(&mut self, conn: ConnectionId, address: SocketAddr, within: f64) {
        let arrivals = self.arrivals.clone();
        let dial = tokio::task::spawn_local(async move {
            let within = Duration::from_secs_f64(within / 1000.0);
            let arrival = match tokio::time::timeout(within, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => Arrival::Up(conn, stream),
                Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                    Arrival::Broke(conn, ConnectionError::Refused)
                }
                Ok(Err(_)) => Arrival::Broke(conn, ConnectionError::Closed),
                Err(_) => Arrival::Broke(conn, ConnectionError::TimedOut),
            };
            let _ = arrivals.send(arrival);
        });
        self.dials.insert(conn, dial.abort_handle());
    }

    /// The connection ends once it has nothing more to send.
    pub fn dismiss(&mut self, conn: ConnectionId) {
        let Some(wire) = self.wires.get(&conn) else { return };
        wire.dismissed.set(true);
        wire.filled.notify_one();
        wire.read_on.notify_one();
    }

    /// Says on all connections that nothing more will be sent, and gives up what is on its way; what still
    /// comes is read and let fall, since a connection that is closed with bytes unread takes back what was
    /// just sent.
    pub async fn end(&mut self, within: Duration) {
        self.dials.drain().for_each(|(_, dial)| dial.abort());
        for wire in self.wires.values() {
            let _ = SockRef::from(&*wire.stream).shutdown(Shutdown::Write);
        }
        let end = tokio::time::Instant::now() + within;
        let conns: Vec<ConnectionId> = self.wires.keys().copied().collect();
        for conn in conns {
            let stream = self.wires[&conn].stream.clone();
            let _ = tokio::time::timeout_at(end, discard(&stream)).await;
        }
    }
}

/// Tells when a connection can be read, once for each time that it has been.
async fn watch(
    conn: ConnectionId,
    stream: Rc<TcpStream>,
    read_on: Rc<Notify>,
    dismissed: Rc<Cell<bool>>,
    arrivals: mpsc::UnboundedSender<Arrival>,
) {
    while !dismissed.get() {
        tokio::select! {
            readable = stream.readable() => if readable.is_err() {
                break;
            },
            () = read_on.notified() => continue,
        }
        if arrivals.send(Arrival::Readable(conn)).is_err() {
            return;
        }
        read_on.notified().await;
    }
    if dismissed.get() {
        let _ = tokio::time::timeout(DISMISSED, discard(&stream)).await;
    }
    let _ = arrivals.send(Arrival::Broke(conn, ConnectionError::Closed));
}

/// Reads and lets fall what comes, until the other end closes or has sent too much.
async fn discard(stream: &TcpStream) {
    let mut discarded = 0;
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut [0; READ]) {
            Ok(0) => return,
            Ok(n) => discarded += n,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
        if discarded > DISCARDED {
            return;
        }
        tokio::task::yield_now().await;
    }
}

/// Writes what found no room at once; a dismissed connection says no more after that.
async fn write(
    conn: ConnectionId,
    stream: Rc<TcpStream>,
    outbox: Rc<RefCell<BytesMut>>,
    filled: Rc<Notify>,
    dismissed: Rc<Cell<bool>>,
    arrivals: mpsc::UnboundedSender<Arrival>,
) {
    loop {
        filled.notified().await;
        let choked = !outbox.borrow().is_empty();
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
        if choked {
            let _ = arrivals.send(Arrival::Drained(conn));
        }
        if dismissed.get() {
            let _ = SockRef::from(&*stream).shutdown(Shutdown::Write);
            return;
        }
    }
}
