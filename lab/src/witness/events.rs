//! What passed in a drill, line by line as JSON: datagrams stand_in the stand-ins' sockets, lists as delivered, and
//! faults as they began. Times are milliseconds since the drill's begin.

use std::io::Write;
use std::net::SocketAddr;

use border::pool::PoolUpdates;
use iax2::frame::{self, Frame};
use serde::Serialize;

use crate::drill::Fault;
use crate::witness::checker;

/// One line.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// A frame stand_in a stand-in's socket; mini frames are left out, as nothing is decided by them.
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
    /// Something that the script does: a server down or up again, a proxy killed, started or stalled.
    Step { ms: f64, step: String },
}

/// Where events go, if anywhere.
#[derive(Default)]
pub struct Events(Option<Box<dyn Write>>);

impl Events {
    pub fn to(sink: impl Write + 'static) -> Self {
        Self(Some(Box::new(sink)))
    }

    pub fn record(&mut self, event: &Event) {
        if let Some(sink) = &mut self.0
            && serde_json::to_writer(&mut *sink, event).map(|()| sink.write_all(b"\n")).is_err()
        {
            eprintln!("events.jsonl cannot be written; later events are dropped");
            self.0 = None;
        }
    }

    pub fn step(&mut self, ms: f64, step: &dyn std::fmt::Debug) {
        if self.0.is_some() {
            self.record(&Event::Step { ms, step: format!("{step:?}") });
        }
    }

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
