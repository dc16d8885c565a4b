//! What passed in a drill, line by line as JSON: datagrams at the stand-ins' sockets, lists as delivered, and
//! troubles as they began. Times are milliseconds since the drill's begin.

use std::io::Write;
use std::net::SocketAddr;

use border::pool::PoolUpdates;
use iax2::frame::{self, Frame};
use serde::Serialize;

use crate::drill::Trouble;
use crate::witness::judge;

/// One line.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// A frame at a stand-in's socket; mini frames are left out, as nothing is decided by them.
    Frame {
        ms: f64,
        at: &'a str,
        way: &'static str,
        peer: SocketAddr,
        frame: String,
    },
    List {
        ms: f64,
        proxy: usize,
        news: &'a PoolUpdates,
    },
    Trouble {
        ms: f64,
        trouble: &'a Trouble,
    },
    /// Something that the script does: a server down or up again, a proxy killed, started or stalled.
    Step {
        ms: f64,
        step: String,
    },
}

/// Where events go, if anywhere.
#[derive(Default)]
pub struct Events(Option<Box<dyn Write>>);

impl Events {
    pub fn to(sink: impl Write + 'static) -> Self {
        Self(Some(Box::new(sink)))
    }

    pub fn note(&mut self, event: &Event) {
        if let Some(sink) = &mut self.0
            && serde_json::to_writer(&mut *sink, event).map(|()| sink.write_all(b"\n")).is_err()
        {
            eprintln!("events.jsonl cannot be written; the rest is left out");
            self.0 = None;
        }
    }

    pub fn step(&mut self, ms: f64, step: &dyn std::fmt::Debug) {
        if self.0.is_some() {
            self.note(&Event::Step { ms, step: format!("{step:?}") });
        }
    }

    pub fn frame(&mut self, ms: f64, at: &str, way: &'static str, peer: SocketAddr, bytes: &bytes::Bytes) {
        if self.0.is_some()
            && let Ok(Frame::Full(full)) = frame::read(bytes)
        {
            self.note(&Event::Frame { ms, at, way, peer, frame: judge::say(&full) });
        }
    }
}
