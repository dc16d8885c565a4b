//! The daemon as a process: it gets ready, refuses for want of servers, and stops in order when asked to.

use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use daemon::settings::EXAMPLE;
use iax2::element::{self, Elements};
use iax2::{End, Endpoint, Happening, Limits};

/// Ends the process whatever the test comes to.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        if let Some(found) = look() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("{what} did not come");
}

#[test]
fn a_proxy_without_servers_refuses_with_advice_and_stops_in_order() {
    let folder = tempfile::tempdir().expect("a folder");
    let state = folder.path().join("state");
    let settings = EXAMPLE
        .replace("frostthread-state", state.to_str().expect("text"))
        .replace("127.0.0.1:4569", "127.0.0.1:0")
        .replace("127.0.0.1:4600", "127.0.0.1:1");
    let file = folder.path().join("p1.toml");
    fs::write(&file, settings).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_frostthread"));
    command.args(["run", "--config"]).arg(&file).stderr(Stdio::null());
    let mut running = Running(command.spawn().expect("started"));
    let ready = until("ready.json", || fs::read_to_string(state.join("ready.json")).ok());
    let ready: serde_json::Value = serde_json::from_str(&ready).expect("JSON");
    let proxy: SocketAddr = ready["callers"].as_str().expect("text").parse().expect("an address");

    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(20))).expect("set");
    let mut caller = Endpoint::new(Limits::default(), 5);
    let began = Instant::now();
    let new = Elements::new().with(element::CALLED_NUMBER, "155").with(element::CALLING_NUMBER, "9");
    caller.call(0.0, proxy, &new).expect("room");
    let end = until("an answer", || {
        while let Some(datagram) = caller.datagram() {
            socket.send_to(&datagram.bytes, datagram.peer).expect("sent");
        }
        let mut buffer = [0; 2048];
        let now = began.elapsed().as_secs_f64() * 1000.0;
        if let Ok((length, from)) = socket.recv_from(&mut buffer) {
            caller.receive(now, from, &Bytes::copy_from_slice(&buffer[..length]));
        }
        caller.turn(now);
        std::iter::from_fn(|| caller.happening()).find_map(|(_, happening)| match happening {
            Happening::Ended(end) => Some(end),
            _ => None,
        })
    });
    let End::Peer { rejected: true, elements } = end else { panic!("{end:?}") };
    assert_eq!(elements.cause(), Some(42));
    assert!(border::hints::Hints::read(&elements).come_back.is_some());

    let mut ask = Command::new(env!("CARGO_BIN_EXE_frostthread"));
    let status = ask.args(["status", "--json", "--config"]).arg(&file).output().expect("ran");
    let status: serde_json::Value = serde_json::from_slice(&status.stdout).expect("JSON");
    assert_eq!(status["tally"]["refused"], 1);

    let id = running.0.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().expect("ran").success());
    let ended = until("its end", || running.0.try_wait().expect("asked"));
    assert!(ended.success(), "{ended:?}");
}
