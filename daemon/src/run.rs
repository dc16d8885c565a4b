//! Runs one border proxy on UDP sockets. Inputs are datagrams, the pool list, the clock and signals; output
//! is datagrams. No decision is made here.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agree::AgreementTerms;
use agree::certificate::FleetKeys;
use anyhow::{Context, Result};
use border::decided::ProcessInfo;
use border::journal_writer::JournalWriter;
use border::pool::{PoolList, PoolUpdates};
use border::{BorderProxy, Decisions, Side, Watched};
use frostthread::Proxy;
use frostthread::host::Terms;
use gossip::{GossipTerms, Node};
use outs::holder::Replacement;
use rand::Rng;
use records::commit::Admission;
use records::entry::Author;
use tokio::net::{UdpSocket, UnixListener};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::backlog::Backlog;
use crate::clock::{Clock, unix_ms};
use crate::control::{self, Request};
use crate::council::CouncilFile;
use crate::distribution::{self, StateFile};
use crate::durable_files;
use crate::feed;
use crate::journal::Journal;
use crate::journal_disk::JobResult;
use crate::keys::Keyring;
use crate::pending_commands::PendingCommands;
use crate::release_agent::ReleaseAgent;
use crate::saved_file::SavedFile;
use crate::settings::{CouncilSettings, GossipSettings, ProxySettings};
use crate::sockets::{Arrival, Sockets, listen};

/// Received datagrams queued for the loop; beyond that they wait in the sockets, where the kernel drops them.
const MAX_QUEUED_ARRIVALS: usize = 4096;
/// Outgoing datagrams kept while sockets' buffers are full.
const MAX_BACKLOG_DATAGRAMS: usize = 4096;
/// The loop reads the clock at least this often, so that it notices its own stalls.
const MAX_TURN_INTERVAL: Duration = Duration::from_millis(50);
/// How long, after the last datagrams, a stop waits for the last write of the journal, and of other state.
const LAST_SYNC_WAIT: Duration = Duration::from_secs(5);
/// How long, after a stop, the last datagrams and their resends may take.
const LAST_DATAGRAMS_WAIT: Duration = Duration::from_millis(1500);

/// The terms of this proxy's gossip, whose socket is bound to `bound`.
fn gossip_terms(settings: &GossipSettings, bound: SocketAddr, resend: f64) -> GossipTerms {
    GossipTerms {
        address: settings.advertised_address.unwrap_or(bound),
        seeds: settings.seeds.clone(),
        max_bytes_per_second: settings.max_bytes_per_second,
        probe_interval: settings.probe_interval,
        max_faulty: settings.max_faulty,
        resend_interval: resend,
    }
}

/// Reads the cached pool list; none if it is missing or invalid.
fn read_cached_pool(settings: &ProxySettings) -> Option<PoolUpdates> {
    let text = fs::read_to_string(settings.pool_cache()).ok()?;
    match PoolList::from_cache(&text) {
        Ok(updates) => Some(updates),
        Err(error) => {
            tracing::warn!("pool.cache_dropped: {error}");
            None
        }
    }
}

/// Applies an update of the pool list and saves the list; returns the version that the feed continues from.
fn update_pool(
    proxy: &mut BorderProxy<impl Decisions>,
    update: &PoolUpdates,
    now: f64,
    cache: &mut SavedFile,
) -> Option<u64> {
    if let Err(error) = proxy.update_server_list(now, unix_ms(), update) {
        tracing::warn!("pool.unfit: {error}");
        return None;
    }
    tracing::info!(version = update.version, whole = update.whole, "pool.changed");
    cache.save(proxy.pool().to_cache().into_bytes());
    proxy.pool().version()
}

/// Binds a socket to the address that the settings name under `key`.
fn bind(key: &str, address: SocketAddr, settings: &ProxySettings) -> Result<Arc<UdpSocket>> {
    let socket = Sockets::bind(address, settings.receive_buffer);
    Ok(Arc::new(socket.with_context(|| format!("{key} {address}"))?))
}

/// Opens the journal and has the proxy record its conversations, if its settings say so.
fn start_recording(
    proxy: &mut BorderProxy<impl Decisions>,
    settings: &ProxySettings,
    now: f64,
    results: mpsc::Sender<JobResult>,
) -> Result<Option<Journal>> {
    let Some(records) = &settings.records else { return Ok(None) };
    // Grows with each start; the random part keeps two processes with one name apart.
    let generation = ((unix_ms() as u64) << 20) | rand::rng().random_range(0..1 << 20);
    let author = Author { proxy: settings.name.clone(), generation };
    let journal = Journal::open(records, author, now, results)
        .with_context(|| format!("records.folder {}", records.folder.display()))?;
    let (grades, tenants) = settings.names.clone();
    proxy.start_recording(JournalWriter::new(grades, tenants, unix_ms() - now));
    Ok(Some(journal))
}

/// Lets the proxy take part in the council's decisions.
#[allow(clippy::too_many_arguments)] // all inputs of the council
fn enable_council(
    proxy: &mut BorderProxy<impl Decisions>,
    settings: &CouncilSettings,
    gossip: &GossipSettings,
    name: &str,
    process: ProcessInfo,
    seed: u64,
    now: f64,
    results: mpsc::Sender<io::Result<()>>,
) -> Result<CouncilFile> {
    let Keyring { secrets, roster } = Keyring::read(gossip, name).context("gossip")?;
    let id = |member: &String| roster.ids().find(|&id| roster.name(id) == Some(member));
    let member_id =
        |member: &String| id(member).with_context(|| format!("council.members: {member}: not in the roster"));
    let members = settings.members.iter().map(member_id).collect::<Result<_>>()?;
    let open_result = CouncilFile::open(&settings.file, results)
        .with_context(|| format!("council.file {}", settings.file.display()));
    let (council_file, recovered) = open_result?;
    let terms =
        AgreementTerms { bootstrap_members: members, heartbeat: settings.heartbeat, lease: settings.lease };
    let keys = FleetKeys { secrets, roster };
    proxy
        .enable_decisions((terms, settings.availability), process, keys, recovered, seed, now)
        .context("council.file")?;
    Ok(council_file)
}

/// Runs the proxy until it is stopped, or until a release replaces it; returns that replacement.
pub async fn run(settings: ProxySettings) -> Result<Option<Replacement>> {
    let proposed_terms = settings.proposed_terms.clone();
    run_with_decisions(settings, |terms, seed, now| {
        Watched::new(Proxy::new(terms, seed, now), proposed_terms)
    })
    .await
}

/// Like [`run`], with a decision module made by `decide` from the terms, a seed and the time in milliseconds.
pub async fn run_with_decisions<D: Decisions>(
    settings: ProxySettings,
    decide: impl FnOnce(Terms, u64, f64) -> D,
) -> Result<Option<Replacement>> {
    durable_files::create_dir_all(&settings.state_dir)
        .with_context(|| format!("state directory {}", settings.state_dir.display()))?;
    let seed: u64 = rand::rng().random();
    let clock = Clock(Instant::now());
    let module = decide(settings.terms.terms.clone(), seed, clock.now());
    let mut proxy = BorderProxy::with_decisions(module, settings.terms.clone(), seed, clock.now());
    if let Some(updates) = read_cached_pool(&settings) {
        tracing::info!(version = updates.version, servers = updates.servers.len(), "pool.cached");
        proxy.update_server_list(clock.now(), unix_ms(), &updates)?;
    }

    let (arrivals_in, mut arrivals) = mpsc::channel(MAX_QUEUED_ARRIVALS);
    let callers = bind("listen.callers", settings.callers_address, &settings)?;
    let address = callers.local_addr()?;
    tokio::spawn(listen(callers.clone(), Side::Callers, None, arrivals_in.clone()));
    let mut peers = None;
    let (council_writes_in, mut council_writes) = mpsc::channel(4);
    let mut council_file = None;
    let mut pending_commands = PendingCommands::default();
    let mut release_agent = ReleaseAgent::new(&settings);
    if let Some(gossip) = &settings.gossip {
        let Keyring { secrets, roster } = Keyring::read(gossip, &settings.name).context("gossip")?;
        let socket = bind("gossip.listen", gossip.listen, &settings)?;
        tokio::spawn(listen(socket.clone(), Side::Peers, None, arrivals_in.clone()));
        let terms = gossip_terms(gossip, socket.local_addr()?, settings.terms.servers.resend_delay);
        proxy.join(Node::new(terms, secrets, roster, seed, clock.now(), unix_ms()));
        if let Some(limits) = settings.fleet_limits {
            let shares = settings.terms.terms.tenants.iter().map(|tenant| tenant.quota);
            proxy.enable_fleet_limits(
                limits,
                settings.names.1.iter().cloned().zip(shares),
                seed,
                clock.now(),
            );
        }
        if let Some(council) = &settings.council {
            let process = ProcessInfo {
                running_release: settings.running_release.release,
                failed_release: settings.running_release.failed.clone(),
                caller_address: address,
            };
            let now = clock.now();
            council_file = Some(enable_council(
                &mut proxy,
                council,
                gossip,
                &settings.name,
                process,
                seed,
                now,
                council_writes_in,
            )?);
        }
        peers = Some(socket);
    } else if let Some(subscriber) = distribution::subscriber_settings(&settings) {
        let socket = bind("distribution.listen", subscriber.listen, &settings)?;
        tokio::spawn(listen(socket.clone(), Side::Peers, None, arrivals_in.clone()));
        peers = Some(socket);
    }
    let mut state_file = distribution::start(&mut proxy, &settings, seed, clock.now(), unix_ms())?;
    let (journal_results_in, mut journal_results) = mpsc::channel(4);
    let mut journal = start_recording(&mut proxy, &settings, clock.now(), journal_results_in)?;
    let peers_address = peers.as_ref().map(|socket| socket.local_addr()).transpose()?;
    let mut sockets =
        Sockets::new(callers, peers, settings.server_source, settings.receive_buffer, arrivals_in);
    let mut backlog = Backlog::new(MAX_BACKLOG_DATAGRAMS);

    let (updates_in, mut updates) = mpsc::channel(16);
    let (known_version, known_version_out) = watch::channel(None);
    tokio::spawn(feed::follow(settings.pool_feed, seed, updates_in, known_version_out));

    let _ = fs::remove_file(&settings.control_socket);
    let control = UnixListener::bind(&settings.control_socket)
        .with_context(|| format!("control {}", settings.control_socket.display()))?;
    let (requests_in, mut requests) = mpsc::channel(16);
    tokio::spawn(control::serve(control, requests_in));

    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let ready = serde_json::json!({ "callers": address, "peers": peers_address, "pid": std::process::id() });
    durable_files::replace(&settings.ready_file(), format!("{ready}\n").as_bytes())?;
    let mut pool_cache = SavedFile::new(settings.pool_cache(), "pool.cache_unwritten");
    tracing::info!(name = settings.name, callers = %address, "proxy.ready");

    let mut stop_at = None;
    let mut last_turn_at = clock.now();
    loop {
        let due = proxy.due().min(journal.as_ref().map_or(f64::INFINITY, Journal::due));
        let due = due.min(state_file.as_ref().map_or(f64::INFINITY, StateFile::due));
        let due = due.min(last_turn_at + MAX_TURN_INTERVAL.as_secs_f64() * 1000.0);
        let wait = Duration::from_secs_f64((due - clock.now()).max(0.0) / 1000.0);
        let writable = sockets.wait_writable(backlog.first());
        let mut first = None;
        let mut request = None;
        tokio::select! {
            arrival = arrivals.recv() => first = arrival,
            Some(update) = updates.recv() => {
                let version = update_pool(&mut proxy, &update, clock.now(), &mut pool_cache);
                let _ = known_version.send(version);
            }
            Some(received) = requests.recv() => request = Some(received),
            Some(result) = journal_results.recv() => {
                if let Some(journal) = &mut journal {
                    journal.job_finished(clock.now(), result);
                }
            }
            Some(result) = council_writes.recv() => {
                if let Err(error) = &result {
                    tracing::error!("council.unwritten: {error}");
                }
                proxy.state_write_finished(clock.now(), result.is_ok());
            }
            _ = terminate.recv() => request = Some(Request::Stop),
            _ = interrupt.recv() => request = Some(Request::Stop),
            _ = writable => {}
            () = tokio::time::sleep(wait) => {}
        }
        backlog.flush(|datagram| sockets.try_send(datagram));
        let now = clock.now();
        match request {
            Some(Request::Status(to)) => drop(to.send(Box::new(proxy.status()))),
            Some(Request::Gossip(to)) => drop(to.send(proxy.gossip())),
            Some(Request::Limits(to)) => drop(to.send(proxy.limits())),
            Some(Request::Council(to)) => drop(to.send(proxy.council())),
            Some(Request::Availability(to)) => drop(to.send(proxy.availability())),
            Some(Request::Distribution(to)) => drop(to.send(proxy.distribution())),
            Some(Request::Changes(to)) => drop(to.send(proxy.changes())),
            Some(Request::Command(command, to)) => pending_commands.submit(now, &mut proxy, &command, to),
            Some(Request::Rekey(to)) => {
                let done = rekey(&mut proxy, &settings);
                tracing::info!(done = done.is_ok(), "gossip.rekeyed");
                let _ = to.send(done);
            }
            Some(Request::Stop) if release_agent.replacement.take().is_some() => {}
            Some(Request::Stop) if stop_at.is_none() => {
                tracing::info!(conversations = proxy.conversations(), "proxy.stopping");
                proxy.stop_accepting();
                stop_at = Some(now + settings.stop_grace);
            }
            _ => {}
        }

        let mut batch = Vec::from_iter(first);
        while let Ok(arrival) = arrivals.try_recv() {
            batch.push(arrival);
        }
        for arrival in batch {
            match arrival {
                Arrival::Datagram(side, peer, bytes, received_at) => {
                    // The system's timestamp is wall-clock time, which may have stepped; the datagram came
                    // after the start of this process and before now.
                    let arrived = clock.elapsed_at(received_at).clamp(0.0, now);
                    proxy.receive(now, arrived, side, peer, &bytes);
                }
                Arrival::Refused(side, peer) => proxy.connection_refused(now, side, peer),
            }
        }
        last_turn_at = now;
        if let Some(journal) = &journal {
            proxy.set_recording_unavailable(match journal.admit(now) {
                Admission::Accept => None,
                Admission::Refuse { retry_after } => Some(retry_after),
            });
        }
        proxy.turn(now);
        proxy.run_pending();
        pending_commands.deliver_outcomes(now, &mut proxy);
        if release_agent.turn(now, &mut proxy) && stop_at.is_none() {
            proxy.stop_accepting();
            stop_at = Some(now + settings.stop_grace);
        }
        if let Some((council_file, write)) =
            council_file.as_ref().and_then(|council_file| Some((council_file, proxy.next_state_write(now)?)))
        {
            council_file.write(write);
        }
        if let Some(file) = &mut state_file {
            file.turn(now, &mut proxy);
        }
        if let Some(journal) = &mut journal {
            journal.write(now, std::iter::from_fn(|| proxy.next_journal_entry()));
            journal.turn(now);
            proxy.entries_stored(now, journal.stored());
        }
        while let Some(datagram) = proxy.outbound() {
            backlog.send(datagram, |datagram| sockets.try_send(datagram));
        }
        while let Some(note) = proxy.note() {
            tracing::info!("module.note: {note}");
        }

        if stop_at.is_some_and(|at| proxy.conversations() == 0 || now >= at) {
            let remaining = proxy.conversations();
            proxy.close_all(now);
            proxy.leave(now);
            if let Some(journal) = &mut journal {
                journal.write(now, std::iter::from_fn(|| proxy.next_journal_entry()));
                journal.turn(now);
            }
            flush_last_datagrams(&mut proxy, &mut sockets, backlog, &mut arrivals, &clock, remaining).await?;
            if let Some(journal) = &mut journal
                && let Err(error) = journal.finish(&clock, &mut journal_results, LAST_SYNC_WAIT).await
            {
                tracing::error!("records.unsynced: {error}");
            }
            if let Some(file) = &mut state_file {
                file.finish(LAST_SYNC_WAIT).await;
            }
            pool_cache.finish(LAST_SYNC_WAIT).await;
            return Ok(release_agent.replacement);
        }
    }
}

/// Reads all key files and rosters again.
///
/// # Errors
///
/// What is wrong with them.
fn rekey(proxy: &mut BorderProxy<impl Decisions>, settings: &ProxySettings) -> Result<(), String> {
    let describe = |error: anyhow::Error| format!("{error:#}");
    if let Some(gossip) = &settings.gossip {
        let Keyring { secrets, roster } = Keyring::read(gossip, &settings.name).map_err(describe)?;
        proxy.rekey(secrets, roster);
    } else if settings.distribution.is_none() {
        return Err(control::NO_GOSSIP.to_owned());
    }
    distribution::rekey(proxy, settings).map_err(describe)
}

/// Sends the last datagrams and their resends, for at most [`LAST_DATAGRAMS_WAIT`].
async fn flush_last_datagrams(
    proxy: &mut BorderProxy<impl Decisions>,
    sockets: &mut Sockets,
    mut backlog: Backlog,
    arrivals: &mut mpsc::Receiver<Arrival>,
    clock: &Clock,
    remaining: usize,
) -> Result<()> {
    let deadline = Instant::now() + LAST_DATAGRAMS_WAIT;
    loop {
        while let Some(datagram) = proxy.outbound() {
            backlog.send(datagram, |datagram| sockets.try_send(datagram));
        }
        backlog.flush(|datagram| sockets.try_send(datagram));
        tokio::select! {
            Some(arrival) = arrivals.recv() => {
                if let Arrival::Datagram(side, peer, bytes, _) = arrival {
                    let now = clock.now();
                    proxy.receive(now, now, side, peer, &bytes);
                }
            }
            () = tokio::time::sleep(MAX_TURN_INTERVAL) => proxy.turn(clock.now()),
        }
        if Instant::now() >= deadline || (remaining == 0 && proxy.due() == f64::INFINITY) {
            break;
        }
    }
    tracing::info!(closed = remaining, unsent = backlog.dropped(), "proxy.stopped");
    Ok(())
}
