//! The daemon as a process: it becomes ready, refuses calls without servers, and stops in order.

mod reserved_port;

use std::fs::{self, Permissions};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use daemon::settings::EXAMPLE;
use iax2::element::{self, Elements};
use iax2::{EndReason, Endpoint, Event, Limits};
use reserved_port::ReservedPort;
use rstest::rstest;

/// A child process that is killed when dropped.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Polls until a value is there; panics after 20 s.
fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        if let Some(found) = look() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("{what}: not within 20 s");
}

fn frostthread(words: &[&str], file: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_frostthread")).args(words).arg(file).output().expect("ran")
}

/// Sends a request to a proxy's control socket; returns the response.
fn request(word: &str, file: &Path) -> serde_json::Value {
    let settings = daemon::settings::read(&fs::read_to_string(file).expect("read")).expect("valid");
    let mut control = UnixStream::connect(settings.control_socket).expect("connected");
    control.write_all(format!("{word}\n").as_bytes()).expect("asked");
    let mut line = String::new();
    BufReader::new(control).read_line(&mut line).expect("answered");
    serde_json::from_str(&line).expect("JSON")
}

/// Starts a proxy with the example's settings and another table; returns its settings file and addresses.
fn start(folder: &Path, name: &str, table: &str) -> (Running, PathBuf, serde_json::Value) {
    let state = folder.join(name);
    let settings = EXAMPLE
        .replace("frostthread-state", state.to_str().expect("text"))
        .replace("name = \"p1\"", &format!("name = {name:?}"))
        .replace("127.0.0.1:4569", "127.0.0.1:0")
        .replace("127.0.0.1:4600", "127.0.0.1:1")
        .replace("[iax2]\n", &format!("{table}[iax2]\n"));
    let file = folder.join(format!("{name}.toml"));
    fs::write(&file, settings).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_frostthread"));
    command.args(["run", "--config"]).arg(&file).stderr(Stdio::null());
    let running = Running(command.spawn().expect("started"));
    let ready = until("ready.json", || fs::read_to_string(state.join("ready.json")).ok());
    (running, file, serde_json::from_str(&ready).expect("JSON"))
}

/// Calls a proxy that has no servers; returns how the call ended.
fn refused(proxy: SocketAddr, calling: &str) -> EndReason {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(20))).expect("set");
    let mut caller = Endpoint::new(Limits::default(), 5);
    let began = Instant::now();
    let new = Elements::new().with(element::CALLED_NUMBER, "155").with(element::CALLING_NUMBER, calling);
    caller.call(0.0, proxy, &new).expect("room");
    until("an answer", || {
        while let Some(datagram) = caller.next_datagram() {
            socket.send_to(&datagram.bytes, datagram.peer).expect("sent");
        }
        let mut buffer = [0; 2048];
        let now = began.elapsed().as_secs_f64() * 1000.0;
        if let Ok((length, from)) = socket.recv_from(&mut buffer) {
            caller.receive(now, from, &Bytes::copy_from_slice(&buffer[..length]));
        }
        caller.turn(now);
        std::iter::from_fn(|| caller.next_event()).find_map(|(_, happening)| match happening {
            Event::Ended(end) => Some(end),
            _ => None,
        })
    })
}

fn stop(running: &mut Running) {
    let id = running.0.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().expect("ran").success());
    let ended = until("its end", || running.0.try_wait().expect("asked"));
    assert!(ended.success(), "{ended:?}");
}

#[test]
fn a_proxy_without_servers_refuses_with_retry_after_and_stops_in_order() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut running, file, ready) = start(folder.path(), "p1", "");
    let proxy: SocketAddr = ready["callers"].as_str().expect("text").parse().expect("an address");

    let end = refused(proxy, "9");
    let EndReason::Peer { rejected: true, elements } = end else { panic!("{end:?}") };
    assert_eq!(elements.cause(), Some(42));
    assert!(border::hints::Hints::read(&elements).retry_after.is_some());

    assert_eq!(request("status", &file)["tally"]["refused"], 1);
    stop(&mut running);
}

#[test]
fn a_paused_process_counts_each_callers_wait_and_answers_in_time() {
    const PATIENCE: Duration = Duration::from_millis(2500);
    let folder = tempfile::tempdir().expect("a folder");
    let (mut running, _, ready) = start(folder.path(), "p1", "");
    let proxy: SocketAddr = ready["callers"].as_str().expect("text").parse().expect("an address");
    let id = running.0.id().to_string();
    let signal = |name: &str| Command::new("kill").args([name, &id]).status().expect("ran");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(5))).expect("set");
    let mut caller = Endpoint::new(Limits { resend_delay: 10_000.0, ..Limits::default() }, 5);
    let send = |caller: &mut Endpoint| {
        while let Some(datagram) = caller.next_datagram() {
            socket.send_to(&datagram.bytes, datagram.peer).expect("sent");
        }
    };

    // While the process is stopped, many datagrams arrive before the set-up and none after it.
    signal("-STOP");
    (0..40).for_each(|_| caller.poke(0.0, proxy));
    send(&mut caller);
    std::thread::sleep(Duration::from_millis(400));
    let hints =
        border::hints::Hints { caller_timeout: Some(PATIENCE.as_millis() as u32), ..Default::default() };
    let new = Elements::new().with(element::CALLED_NUMBER, "155").with(element::CALLING_NUMBER, "9");
    caller.call(0.0, proxy, &hints.add_to(new)).expect("room");
    send(&mut caller);
    let asked = Instant::now();
    std::thread::sleep(Duration::from_millis(1600));
    signal("-CONT");

    let ended = until("an answer", || {
        let mut buffer = [0; 2048];
        if let Ok((length, from)) = socket.recv_from(&mut buffer) {
            caller.receive(0.0, from, &Bytes::copy_from_slice(&buffer[..length]));
        }
        send(&mut caller);
        let mut all = std::iter::from_fn(|| caller.next_event());
        all.any(|(_, happening)| matches!(happening, Event::Ended(_))).then(|| asked.elapsed())
    });
    assert!(ended < PATIENCE, "answered {ended:?} after the call");
    stop(&mut running);
}

#[test]
fn a_proxy_with_proposed_rules_counts_its_turns() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut running, file, ready) = start(folder.path(), "p1", "[watch]\nprobe = false\ncold_from = 0.3\n");
    refused(ready["callers"].as_str().expect("text").parse().expect("an address"), "9");
    let watch = &request("status", &file)["watch"];
    assert!(watch["seen"].as_u64().is_some_and(|seen| seen > 0), "{watch}");
    assert_eq!(watch["differing"], 0, "without servers the proposed rules change nothing");
    let shown = frostthread(&["status", "--config"], &file);
    assert!(String::from_utf8_lossy(&shown.stdout).contains("watched: 0 of"), "{shown:?}");
    stop(&mut running);
}

#[test]
fn two_proxies_find_each_other_rotate_the_fleet_key_and_leave_in_order() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name);
    let key = |name: &str| {
        let made = frostthread(&["key", "new"], &path(name));
        assert!(made.status.success(), "{made:?}");
        String::from_utf8(made.stdout).expect("text").trim().to_owned()
    };
    let roster = format!("p1 = \"{}\"\np2 = \"{}\"\n", key("p1.key"), key("p2.key"));
    fs::write(path("roster.toml"), roster).expect("written");
    for name in ["old.key", "new.key"] {
        key(name);
    }
    let gossip = |name: &str, seeds: &str| {
        let at = |file: &str| path(file).to_str().expect("text").to_owned();
        format!(
            "[gossip]\nlisten = \"127.0.0.1:0\"\nseeds = [{seeds}]\nkey = \"{}\"\nfleet_keys = [\"{}\"]\n\
             roster = \"{}\"\ncap = 16000\nbeat = \"50 ms\"\nliars = 0\n\n",
            at(&format!("{name}.key")),
            at("old.key"),
            at("roster.toml")
        )
    };
    let (_first, file_1, ready) = start(folder.path(), "p1", &gossip("p1", ""));
    let seed = format!("\"{}\"", ready["peers"].as_str().expect("an address"));
    let (mut second, file_2, _) = start(folder.path(), "p2", &gossip("p2", &seed));
    let other = |file: &Path| request("members", file)[1]["standing"].as_str().map(str::to_owned);
    for file in [&file_1, &file_2] {
        until("the other proxy", || (other(file).as_deref() == Some("alive")).then_some(()));
    }
    assert_eq!(request("suspicions", &file_1), serde_json::json!([]));

    // The new key as the second, then as the first, then alone: packets are accepted all the time.
    for keys in [["old", "new"], ["new", "old"], ["new", "new"]] {
        for file in [&file_1, &file_2] {
            let source = fs::read_to_string(file).expect("read");
            let (before, after) = source.split_once("fleet_keys = [").expect("there");
            let after = after.split_once(']').expect("closed").1;
            let list = keys.map(|key| format!("{:?}", path(&format!("{key}.key"))));
            fs::write(file, format!("{before}fleet_keys = [{}]{after}", list.join(", "))).expect("written");
            let done = frostthread(&["rekey", "--config"], file);
            assert!(done.status.success(), "{done:?}");
        }
    }
    let sent = request("gossip", &file_2)["tally"]["packets"].as_u64().expect("a count");
    until("more packets", || {
        (request("gossip", &file_2)["tally"]["packets"].as_u64()? > sent + 10).then_some(())
    });
    assert_eq!(request("gossip", &file_1)["tally"]["untagged"], 0);
    assert_eq!(other(&file_1).as_deref(), Some("alive"));

    stop(&mut second);
    until("the other proxy's leave", || (other(&file_1).as_deref() == Some("dead")).then_some(()));
}

#[test]
fn a_key_file_readable_by_others_is_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("own.key");
    assert!(frostthread(&["key", "new"], &file).status.success());
    assert!(!frostthread(&["key", "new"], &file).status.success(), "it was there already");
    fs::set_permissions(&file, Permissions::from_mode(0o644)).expect("set");
    let refused = frostthread(&["key", "public"], &file);
    assert!(String::from_utf8_lossy(&refused.stderr).contains("mode 644, wanted 600"), "{refused:?}");
}

#[rstest]
#[case("synced")]
#[case("written")]
fn an_answer_sent_to_a_caller_is_recorded_even_if_the_proxy_is_killed(#[case] promise: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let table = format!(
        "[records]\npromise = {promise:?}\ndelay = \"4 ms\"\npatience = \"300 ms\"\nsegment = 4096\n\n"
    );
    let (mut running, _, ready) = start(folder.path(), "p1", &table);
    let proxy: SocketAddr = ready["callers"].as_str().expect("text").parse().expect("an address");
    for calling in ["7", "8", "9"] {
        refused(proxy, calling);
    }
    running.0.kill().expect("killed outright");
    running.0.wait().expect("gone");
    let (_again, ..) = start(folder.path(), "p1", &table);
    let journals = folder.path().join("p1/records");
    let shown = frostthread(&["records", "show"], &journals);
    let shown = String::from_utf8(shown.stdout).expect("text");
    let outcomes: Vec<serde_json::Value> =
        shown.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    assert_eq!(outcomes.len(), 3, "{shown}");
    assert!(outcomes.iter().all(|of| of["outcome"] == "Refused" && of["called"] == "155"), "{shown}");
}

/// A configuration as the platform writes it; nothing listens at its addresses except the proxy itself.
fn configuration(listen: SocketAddr) -> serde_json::Value {
    let profile = serde_json::json!({"name": "voice", "objective": 2.0, "deadline": 9.0, "worth": 1.0, "late_worth": 0.1,
        "effect": "repeatable", "streamed": true});
    serde_json::json!({
        "name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "changelog": "127.0.0.1:1",
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 72},
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"index": 1, "snapshot": true, "endpoints": []}}]},
        "settings": {
            "balancers": 1, "over_share_worth": 0.2, "profiles": [profile], "tenants": [],
            "bounds": {"cancel": true, "connect_timeout": 0.5, "max_attempts": 4, "max_retry_after": 2.0,
                "may_probe": true, "open_cap": 100, "peers": true, "retry_after": false},
            "domain": {"clear_wait": 0.3, "gives_wait": false, "mean_hold": [8.0], "network_form": "skills",
                "pools_by_class": [[0]], "repeat": 0.5},
            "feedback": {"how": "piggyback", "names": []},
            "rules": {"cold": 14.0, "cold_from": 0.28, "fall": 1.0, "overload_factor": 2.5},
        },
    })
}

/// The command that the deploy file's `run` gives: a shell that execs `serve`, with a temporary folder of
/// its own.
fn serve(folder: &Path, configuration: &str) -> Command {
    let file = folder.join("config.json");
    fs::write(&file, configuration).expect("written");
    fs::create_dir_all(folder.join("tmp")).expect("made");
    let mut command = Command::new("/bin/sh");
    let run = format!("exec {} serve", env!("CARGO_BIN_EXE_frostthread"));
    command
        .args(["-c", &run])
        .env("LB_CONFIG", file)
        .env_remove("LB_LISTEN")
        .env("TMPDIR", folder.join("tmp"));
    command.current_dir(folder.join("tmp"));
    command
}

#[test]
fn serve_is_one_process_without_a_unix_socket_and_leaves_no_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let port = ReservedPort::new();
    let listen = port.address;
    let mut command = serve(folder.path(), &configuration(listen).to_string());
    let mut running = Running(command.stderr(Stdio::null()).spawn().expect("started"));
    until("the listener", || std::net::TcpStream::connect(listen).ok());
    let process = PathBuf::from(format!("/proc/{}", running.0.id()));
    let read = |name: &str| fs::read_to_string(process.join(name)).expect("read");
    assert!(
        read("cmdline").contains("serve") && !read("cmdline").contains("/bin/sh"),
        "the shell was replaced"
    );
    for thread in fs::read_dir(process.join("task")).expect("listed") {
        let children = thread.expect("a thread").path().join("children");
        assert_eq!(fs::read_to_string(children).unwrap_or_default().trim(), "", "no other process");
    }
    assert!(read("maps").contains("libc.so"), "linked to the C library as it runs");
    let open = fs::read_dir(process.join("fd")).expect("listed").flatten();
    let open: Vec<String> =
        open.filter_map(|fd| Some(fs::read_link(fd.path()).ok()?.to_string_lossy().into_owned())).collect();
    // Flags 00010000 mark a listening socket; the columns are described in proc(5).
    let unix = fs::read_to_string("/proc/net/unix").expect("read");
    let listeners = unix.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let mut listeners = listeners.filter(|columns| columns.len() > 6 && columns[3] == "00010000");
    assert!(!listeners.any(|columns| open.contains(&format!("socket:[{}]", columns[6]))), "{open:?}");
    stop(&mut running);
    assert_eq!(fs::read_dir(folder.path().join("tmp")).expect("listed").count(), 0, "no file is left");
}

#[rstest]
#[case::cut_off("{\"name\": \"n0\"", "config.json")]
#[case::without_a_field("{\"name\": \"n0\"}", "missing field")]
fn an_unreadable_configuration_ends_the_start_with_one_line(#[case] text: &str, #[case] expected: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let ended = serve(folder.path(), text).output().expect("ran");
    assert!(!ended.status.success());
    let stderr_text = String::from_utf8_lossy(&ended.stderr).into_owned();
    assert!(stderr_text.lines().count() == 1 && stderr_text.contains(expected), "{stderr_text}");
}
