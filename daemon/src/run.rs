//! Drives one border proxy on sockets: datagrams, the pool list, the clock and signals in; datagrams out.
//! Nothing is decided here.

use std::collections::VecDeque;
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agree::AgreementTerms;
use agree::certificate::FleetKeys;
use anyhow::{Context, Result};
use border::decided::ProcessInfo;
use border::journal_writer::JournalWriter;
use border::pool::{PoolList, PoolUpdates};
use border::{BorderProxy, Decisions, Outbound, Side, Watched};
use frostthread::Proxy;
use frostthread::host::Terms;
use gossip::{GossipTerms, Node};
use outs::holder::Replacement;
use rand::Rng;
use records::commit::Admission;
use records::entry::Author;
use tokio::net::UnixListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::backlog::Backlog;
use crate::clock::{Clock, unix};
use crate::control::{self, Ask};
use crate::council::Keeper;
use crate::distribution::{self, StateFile};
use crate::feed;
use crate::journal::Journal;
use crate::keys::Keyring;
use crate::replacing::Replacing;
use crate::settings::{CouncilPlan, GossipPlan, Plan};
use crate::sockets::{Arrival, Sockets, listen};
use crate::wishes::Wishes;

/// Arrivals that wait to be told; past that they wait in the sockets, and the kernel drops.
const QUEUE: usize = 4096;
/// Datagrams kept while sockets' buffers are full.
const BACKLOG: usize = 4096;
/// The loop looks at the clock at least this often, to know its own stalls.
const BEAT: Duration = Duration::from_millis(50);
/// After a stop, how long the last datagrams and their resends are given.
const FAREWELL: Duration = Duration::from_millis(1500);

/// Writes a file so that it is there whole or not at all.
pub(crate) fn write_whole(path: &Path, bytes: &[u8]) -> Result<()> {
    let folder = path.parent().context("no folder")?;
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(bytes)?;
    file.persist(path)?;
    Ok(())
}

/// The terms of this proxy's gossip, heard at `bound`.
fn gossip_terms(plan: &GossipPlan, bound: SocketAddr, resend: f64) -> GossipTerms {
    GossipTerms {
        address: plan.address.unwrap_or(bound),
        seeds: plan.seeds.clone(),
        max_bytes_per_second: plan.cap,
        probe_interval: plan.beat,
        max_faulty: plan.liars,
        resend_interval: resend,
    }
}

fn cached(plan: &Plan) -> Option<PoolUpdates> {
    let text = fs::read_to_string(plan.pool_cache()).ok()?;
    match PoolList::from_cache(&text) {
        Ok(news) => Some(news),
        Err(error) => {
            tracing::warn!("pool.cache_dropped: {error}");
            None
        }
    }
}

/// Lets the proxy take part in what all proxies decide.
#[allow(clippy::too_many_arguments)] // all that it is made of
fn agree_on(
    proxy: &mut BorderProxy<impl Decisions>,
    plan: &CouncilPlan,
    gossip: &GossipPlan,
    name: &str,
    life: ProcessInfo,
    seed: u64,
    now: f64,
    told: mpsc::Sender<io::Result<()>>,
) -> Result<Keeper> {
    let Keyring { secrets, roster } = Keyring::read(gossip, name).context("gossip")?;
    let id = |member: &String| roster.ids().find(|&id| roster.name(id) == Some(member));
    let named =
        |member: &String| id(member).with_context(|| format!("council.members: {member}: not in the roster"));
    let founders = plan.members.iter().map(named).collect::<Result<_>>()?;
    let opened =
        Keeper::open(&plan.file, told).with_context(|| format!("council.file {}", plan.file.display()));
    let (keeper, found) = opened?;
    let terms = AgreementTerms { bootstrap_members: founders, heartbeat: plan.beat, lease: plan.lease };
    let keys = FleetKeys { secrets, roster };
    proxy.enable_decisions((terms, plan.outs), life, keys, found, seed, now).context("council.file")?;
    Ok(keeper)
}

/// Runs the proxy until it is told to stop, or is to become another by a release.
pub async fn run(plan: Plan) -> Result<Option<Replacement>> {
    let to_come = plan.to_come.clone();
    run_with_decisions(plan, |terms, seed, now| Watched::new(Proxy::new(terms, seed, now), to_come)).await
}

/// The same with something else that decides, made from the terms, a seed and the time.
pub async fn run_with_decisions<D: Decisions>(
    plan: Plan,
    decide: impl FnOnce(Terms, u64, f64) -> D,
) -> Result<Option<Replacement>> {
    fs::create_dir_all(&plan.state).with_context(|| format!("state directory {}", plan.state.display()))?;
    let seed: u64 = rand::rng().random();
    let clock = Clock(Instant::now());
    let module = decide(plan.terms.terms.clone(), seed, clock.now());
    let mut proxy = BorderProxy::with_decisions(module, plan.terms.clone(), seed, clock.now());
    if let Some(news) = cached(&plan) {
        tracing::info!(version = news.version, servers = news.servers.len(), "pool.cached");
        proxy.update_server_list(clock.now(), unix(), &news)?;
    }

    let (arrivals_in, mut arrivals) = mpsc::channel(QUEUE);
    let callers = Sockets::bind(plan.callers, plan.receive_buffer);
    let callers = Arc::new(callers.with_context(|| format!("listen.callers {}", plan.callers))?);
    let address = callers.local_addr()?;
    tokio::spawn(listen(callers.clone(), Side::Callers, None, arrivals_in.clone()));
    let mut peers = None;
    let (kept_in, mut kept) = mpsc::channel(4);
    let mut keeper = None;
    let mut wishes = Wishes::default();
    let mut replacing = Replacing::new(&plan);
    if let Some(gossip) = &plan.gossip {
        let Keyring { secrets, roster } = Keyring::read(gossip, &plan.name).context("gossip")?;
        let socket = Sockets::bind(gossip.listen, plan.receive_buffer);
        let socket = Arc::new(socket.with_context(|| format!("gossip.listen {}", gossip.listen))?);
        tokio::spawn(listen(socket.clone(), Side::Peers, None, arrivals_in.clone()));
        let terms = gossip_terms(gossip, socket.local_addr()?, plan.terms.servers.resend_delay);
        proxy.join(Node::new(terms, secrets, roster, seed, clock.now(), unix()));
        if let Some(limits) = plan.fleet {
            let shares = plan.terms.terms.tenants.iter().map(|tenant| tenant.quota);
            proxy.enable_fleet_limits(limits, plan.names.1.iter().cloned().zip(shares), seed, clock.now());
        }
        if let Some(council) = &plan.council {
            let life = ProcessInfo {
                running_release: plan.runs.release,
                failed_release: plan.runs.failed.clone(),
                caller_address: address,
            };
            let now = clock.now();
            keeper = Some(agree_on(&mut proxy, council, gossip, &plan.name, life, seed, now, kept_in)?);
        }
        peers = Some(socket);
    } else if let Some(subscriber) = distribution::listens(&plan) {
        let socket = Sockets::bind(subscriber.listen, plan.receive_buffer);
        let socket = Arc::new(socket.with_context(|| format!("distribution.listen {}", subscriber.listen))?);
        tokio::spawn(listen(socket.clone(), Side::Peers, None, arrivals_in.clone()));
        peers = Some(socket);
    }
    let mut distributed = distribution::begin(&mut proxy, &plan, seed, clock.now(), unix())?;
    let (synced_in, mut synced) = mpsc::channel(4);
    let mut journal = None;
    if let Some(records) = &plan.records {
        // Grows with each start; chance keeps two processes of one name apart.
        let life = ((unix() as u64) << 20) | rand::rng().random_range(0..1 << 20);
        let author = Author { proxy: plan.name.clone(), generation: life };
        let begun = Journal::begin(records, author, clock.now(), synced_in.clone());
        journal = Some(begun.with_context(|| format!("records.folder {}", records.folder.display()))?);
        let (grades, tenants) = plan.names.clone();
        proxy.start_recording(JournalWriter::new(grades, tenants, unix() - clock.now()));
    }
    // Datagrams to callers that wait for the journal, with the position that they wait for.
    let mut waiting: VecDeque<(u64, Outbound)> = VecDeque::new();
    let peers_at = peers.as_ref().map(|socket| socket.local_addr()).transpose()?;
    let mut sockets = Sockets::new(callers, peers, plan.servers, plan.receive_buffer, arrivals_in);
    let mut backlog = Backlog::new(BACKLOG);

    let (news_in, mut news) = mpsc::channel(16);
    let (have, have_out) = watch::channel(None);
    tokio::spawn(feed::follow(plan.feed, seed, news_in, have_out));

    let _ = fs::remove_file(&plan.control);
    let control =
        UnixListener::bind(&plan.control).with_context(|| format!("control {}", plan.control.display()))?;
    let (asks_in, mut asks) = mpsc::channel(16);
    tokio::spawn(control::serve(control, asks_in));

    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let ready = serde_json::json!({ "callers": address, "peers": peers_at, "pid": std::process::id() });
    write_whole(&plan.ready_file(), format!("{ready}\n").as_bytes())?;
    tracing::info!(name = plan.name, callers = %address, "proxy.ready");

    let mut stop_at = None;
    let mut looked = clock.now();
    loop {
        let due = proxy.due().min(journal.as_ref().map_or(f64::INFINITY, Journal::due));
        let due = due.min(distributed.as_ref().map_or(f64::INFINITY, StateFile::due));
        let due = due.min(looked + BEAT.as_secs_f64() * 1000.0);
        let wait = Duration::from_secs_f64((due - clock.now()).max(0.0) / 1000.0);
        let room = sockets.room(backlog.first());
        let mut first = None;
        let mut asked = None;
        tokio::select! {
            arrival = arrivals.recv() => first = arrival,
            Some(change) = news.recv() => {
                let now = clock.now();
                match proxy.update_server_list(now, unix(), &change) {
                    Ok(()) => {
                        tracing::info!(version = change.version, whole = change.whole, "pool.changed");
                        let _ = have.send(proxy.pool().version());
                        if let Err(error) = write_whole(&plan.pool_cache(), proxy.pool().to_cache().as_bytes()) {
                            tracing::warn!("pool.cache_unwritten: {error:#}");
                        }
                    }
                    Err(error) => {
                        tracing::warn!("pool.unfit: {error}");
                        let _ = have.send(None);
                    }
                }
            }
            Some(ask) = asks.recv() => asked = Some(ask),
            Some(result) = synced.recv() => {
                if let Some(journal) = &mut journal {
                    journal.synced(result);
                }
            }
            Some(result) = kept.recv() => {
                if let Err(error) = &result {
                    tracing::error!("council.unwritten: {error}");
                }
                proxy.state_write_finished(clock.now(), result.is_ok());
            }
            _ = terminate.recv() => asked = Some(Ask::Stop),
            _ = interrupt.recv() => asked = Some(Ask::Stop),
            _ = room => {}
            () = tokio::time::sleep(wait) => {}
        }
        backlog.flush(|out| sockets.try_send(out));
        let now = clock.now();
        match asked {
            Some(Ask::Status(to)) => drop(to.send(Box::new(proxy.status()))),
            Some(Ask::Gossip(to)) => drop(to.send(proxy.gossip())),
            Some(Ask::Limits(to)) => drop(to.send(proxy.limits())),
            Some(Ask::Council(to)) => drop(to.send(proxy.council())),
            Some(Ask::Outs(to)) => drop(to.send(proxy.availability())),
            Some(Ask::Distribution(to)) => drop(to.send(proxy.distribution())),
            Some(Ask::Changes(to)) => drop(to.send(proxy.changes())),
            Some(Ask::Wish(wished, to)) => wishes.ask(now, &mut proxy, &wished, to),
            Some(Ask::Rekey(to)) => {
                let done = rekey(&mut proxy, &plan);
                tracing::info!(done = done.is_ok(), "gossip.rekeyed");
                let _ = to.send(done);
            }
            Some(Ask::Stop) if replacing.leaving.take().is_some() => {}
            Some(Ask::Stop) if stop_at.is_none() => {
                tracing::info!(conversations = proxy.conversations(), "proxy.stopping");
                proxy.stop_accepting();
                stop_at = Some(now + plan.standing);
            }
            _ => {}
        }

        let mut batch = Vec::from_iter(first);
        while let Ok(arrival) = arrivals.try_recv() {
            batch.push(arrival);
        }
        for arrival in batch {
            match arrival {
                Arrival::Datagram(side, peer, bytes, came) => {
                    // Whatever the wall clock did meanwhile, it came to a socket of this process.
                    let arrived = clock.at(came).clamp(0.0, now);
                    proxy.receive(now, arrived, side, peer, &bytes);
                }
                Arrival::Refused(side, peer) => proxy.connection_refused(now, side, peer),
            }
        }
        looked = now;
        if let Some(journal) = &journal {
            proxy.set_recording_unavailable(match journal.admit(now) {
                Admission::Accept => None,
                Admission::Refuse { retry_after } => Some(retry_after),
            });
        }
        proxy.turn(now);
        proxy.run_pending();
        wishes.answer(now, &mut proxy);
        if replacing.turn(now, &mut proxy) && stop_at.is_none() {
            proxy.stop_accepting();
            stop_at = Some(now + plan.standing);
        }
        if let Some((keeper, write)) =
            keeper.as_ref().and_then(|keeper| Some((keeper, proxy.next_state_write(now)?)))
        {
            keeper.write(write);
        }
        if let Some(file) = &mut distributed {
            file.turn(now, &mut proxy);
        }
        if let Some(journal) = &mut journal {
            journal.write(now, std::iter::from_fn(|| proxy.next_journal_entry()));
            journal.turn(now);
        }
        while let Some(out) = proxy.outbound() {
            match &journal {
                // Voice rests on nothing that is written now: mini frames go at once (RFC 5456, 8.1.2).
                Some(journal) if out.side == Side::Callers && out.bytes[0] & 0x80 != 0 => {
                    waiting.push_back((journal.position(), out));
                }
                _ => backlog.send(out, |out| sockets.try_send(out)),
            }
        }
        while let Some((_, out)) =
            waiting.pop_front_if(|(position, _)| journal.as_ref().is_none_or(|j| j.may_go(now, *position)))
        {
            backlog.send(out, |out| sockets.try_send(out));
        }
        while let Some(note) = proxy.note() {
            tracing::info!("module.note: {note}");
        }

        if stop_at.is_some_and(|at| proxy.conversations() == 0 || now >= at) {
            let left = proxy.conversations();
            proxy.close_all(now);
            proxy.leave(now);
            distributed.iter_mut().for_each(StateFile::finish);
            if let Some(journal) = &mut journal {
                journal.finish(now, std::iter::from_fn(|| proxy.next_journal_entry()));
            }
            for (_, out) in waiting {
                backlog.send(out, |out| sockets.try_send(out));
            }
            farewell(&mut proxy, &mut sockets, backlog, &mut arrivals, &clock, left).await?;
            return Ok(replacing.leaving);
        }
    }
}

/// Reads all key files and rosters again; what is wrong with them, if anything.
fn rekey(proxy: &mut BorderProxy<impl Decisions>, plan: &Plan) -> Result<(), String> {
    let told = |error: anyhow::Error| format!("{error:#}");
    if let Some(gossip) = &plan.gossip {
        let Keyring { secrets, roster } = Keyring::read(gossip, &plan.name).map_err(told)?;
        proxy.rekey(secrets, roster);
    } else if plan.distribution.is_none() {
        return Err(control::NO_GOSSIP.to_owned());
    }
    distribution::rekey(proxy, plan).map_err(told)
}

/// Gives the last answers their time to be heard.
async fn farewell(
    proxy: &mut BorderProxy<impl Decisions>,
    sockets: &mut Sockets,
    mut backlog: Backlog,
    arrivals: &mut mpsc::Receiver<Arrival>,
    clock: &Clock,
    left: usize,
) -> Result<()> {
    let end = Instant::now() + FAREWELL;
    loop {
        while let Some(out) = proxy.outbound() {
            backlog.send(out, |out| sockets.try_send(out));
        }
        backlog.flush(|out| sockets.try_send(out));
        tokio::select! {
            Some(arrival) = arrivals.recv() => {
                if let Arrival::Datagram(side, peer, bytes, _) = arrival {
                    let now = clock.now();
                    proxy.receive(now, now, side, peer, &bytes);
                }
            }
            () = tokio::time::sleep(BEAT) => proxy.turn(clock.now()),
        }
        if Instant::now() >= end || (left == 0 && proxy.due() == f64::INFINITY) {
            break;
        }
    }
    tracing::info!(closed = left, unsent = backlog.dropped(), "proxy.stopped");
    Ok(())
}
