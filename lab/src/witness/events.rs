//! The events of a drill, one JSON object per line: datagrams at the stand-ins' sockets, lists as delivered,
//! and faults as they started. Times are milliseconds since the drill's start.

use std::io::Write;
use std::net::SocketAddr;

use border::pool::PoolUpdates;
use iax2::frame::{self, Frame};
use serde::Serialize;

use crate::drill::Fault;
use crate::witness::checker;

/// One line of the file.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// A frame at a stand-in's socket; mini frames are omitted, since no rule depends on them.
    Frame {
        ms: f64,
        #[serde(rename = "at")]
        stand_in: &'a str,
        #[serde(rename = "way")]
        direction: &'static str,
        peer: SocketAddr,
        frame: String,
    },
    List {
        ms: f64,
        proxy: usize,
        #[serde(rename = "news")]
        updates: &'a PoolUpdates,
    },
    #[serde(rename = "trouble")]
    Fault {
        ms: f64,
        #[serde(rename = "trouble")]
        fault: &'a Fault,
    },
    /// A scheduled step: a server down or up again, a proxy killed, started or stopped for a while.
    Step { ms: f64, step: String },
}

/// Writes events, if it has somewhere to write them.
#[derive(Default)]
pub struct Events(Option<Box<dyn Write>>);

impl Events {
    /// Writes events to `sink`.
    pub fn to(sink: impl Write + 'static) -> Self {
        Self(Some(Box::new(sink)))
    }

    /// Writes an event.
    pub fn record(&mut self, event: &Event) {
        if let Some(sink) = &mut self.0
            && serde_json::to_writer(&mut *sink, event).map(|()| sink.write_all(b"\n")).is_err()
        {
            eprintln!("events.jsonl cannot be written; later events are dropped");
            self.0 = None;
        }
    }

    /// Writes a scheduled step.
    pub fn step(&mut self, ms: f64, step: &dyn std::fmt::Debug) {
        if self.0.is_some() {
            self.record(&Event::Step { ms, step: format!("{step:?}") });
        }
    }

    /// Writes a full frame.
    pub fn frame(
        &mut self,
        ms: f64,
        stand_in: &str,
        direction: &'static str,
        peer: SocketAddr,
        bytes: &bytes::Bytes,
    ) {
        if self.0.is_some()
            && let Ok(Frame::Full(full)) = frame::read(bytes)
        {
            self.record(&Event::Frame {
                ms,
                stand_in,
                direction,
                peer,
                frame: checker::describe_frame(&full),
            });
        }
    }
}
