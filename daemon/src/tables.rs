//! Prints the status of a running proxy as tables.

use border::decided::{
    AvailabilityStatus, CouncilStatus, DrainStatus, ReleaseStatus, UnavailabilityStatus, VoterStatus,
};
use border::distributed::{ChangeStatus, DistributedDrain, DistributionStatus, ScopeStatus};
use border::status::{GossipStatus, LimitStatus, LimitsStatus, MemberStatus, Status, SuspicionStatus};
use tabled::{Table, Tabled, settings::Style};

/// A server's line in [`show`].
#[derive(Tabled)]
struct Row {
    server: String,
    address: String,
    state: String,
    out: String,
    samples: usize,
    delay: String,
    rate: String,
}

/// Prints the gossip members and counters.
pub fn show_members(gossip: &GossipStatus) {
    #[derive(Tabled)]
    struct Row<'a> {
        proxy: &'a str,
        address: &'a str,
        standing: &'a str,
    }
    fn row(m: &MemberStatus) -> Row<'_> {
        Row { proxy: &m.name, address: &m.address, standing: &m.state }
    }
    println!("{}", Table::new(gossip.members.iter().map(row)).with(Style::sharp()));
    let counters = gossip.counters;
    println!(
        "sent {} packets, {} bytes, put off {}; dropped: malformed {}, untagged {}, forged {}, replayed {}, \
         bad statements {}; clashes {}",
        counters.packets,
        counters.sent_bytes,
        gossip.deferred,
        counters.malformed,
        counters.untagged,
        counters.forged,
        counters.replayed,
        counters.bad_statements,
        counters.clashes
    );
}

/// Prints the servers suspected to be silent.
pub fn show_suspicions(gossip: &GossipStatus) {
    #[derive(Tabled)]
    struct Row<'a> {
        server: &'a str,
        believed: bool,
        accusers: String,
        vouchers: usize,
        since: String,
        own_answer: String,
    }
    fn row(s: &SuspicionStatus) -> Row<'_> {
        Row {
            server: &s.server,
            believed: s.believed,
            accusers: format!("{}: {}", s.accusers.len(), s.accusers.join(" ")),
            vouchers: s.vouchers,
            since: format!("{:.1} s", s.age_ms / 1000.0),
            own_answer: s
                .last_answer_ms
                .map_or("never".to_owned(), |ago| format!("{:.1} s ago", ago / 1000.0)),
        }
    }
    println!("{}", Table::new(gossip.suspicions.iter().map(row)).with(Style::sharp()));
}

/// Prints the fleet limits and their counters.
pub fn show_limits(status: &LimitsStatus) {
    #[derive(Tabled)]
    struct Row<'a> {
        server: &'a str,
        limit: String,
        own: usize,
        lent: usize,
        borrowed: usize,
        used: usize,
        free: usize,
        why: &'a str,
    }
    fn row(l: &LimitStatus) -> Row<'_> {
        Row {
            server: &l.server,
            limit: format!("{} in {:.1} s", l.permits, l.window_ms / 1000.0),
            own: l.part,
            lent: l.lent,
            borrowed: l.borrowed,
            used: l.used_in_window,
            free: l.free,
            why: &l.why,
        }
    }
    println!("{}", Table::new(status.limits.iter().map(row)).with(Style::sharp()));
    let counts = status.counts;
    println!(
        "asked {}, lent {}, borrowed {}, missed {}; dropped: malformed {}, unknown {}, over {}, stray {}",
        counts.requested,
        counts.lent,
        counts.borrowed,
        counts.without_permit,
        counts.malformed,
        counts.unknown,
        counts.over_limit,
        counts.unexpected
    );
}

/// Prints servers, conversations and counters.
pub fn show(status: &Status) {
    let row = |server: &border::status::ServerStatus| Row {
        server: server.name.clone(),
        address: server.address.clone(),
        state: match (server.cold, server.cooling_down) {
            (true, _) => format!("{}, cold", server.state),
            (false, true) => format!("{}, resting", server.state),
            _ => server.state.clone(),
        },
        out: format!("{} of {:.1}", server.in_flight, server.concurrency_limit),
        samples: server.samples,
        delay: format!("{:.0} ms", server.delay_ms),
        rate: server.reported_rate.map_or("-".to_owned(), |rate| format!("{rate:.1}/s")),
    };
    println!("{}", Table::new(status.servers.iter().map(row)).with(Style::sharp()));
    let (present, counters) = (status.conversations, status.counters);
    println!("held {}, shot {}, standing {}", present.waiting, present.attempting, present.established);
    println!(
        "taken {}, stood {}, refused {}, failed {}, left {}, cut {}; shots {}, nacked {}, timed out {}, reset {}",
        counters.accepted,
        counters.established,
        counters.refused,
        counters.failed,
        counters.caller_gone,
        counters.cut,
        counters.attempts,
        counters.rejected,
        counters.timed_out,
        counters.reset
    );
    println!(
        "unrouted {}, turned away {}, unrecordable {}",
        counters.unrouted, counters.turned_away, counters.unrecordable
    );
    if let Some(watch) = status.watch {
        println!(
            "watched: {} of {} turns would differ; {} turns in all",
            watch.differing, watch.compared, watch.turns
        );
        println!(
            "elsewhere {}, other time-out {}, held back {}, sooner {}, given up {}, kept {}, other advice {}, \
             called off {}, unprobed {}, probed {}",
            watch.other_server,
            watch.timeout,
            watch.held_back,
            watch.earlier,
            watch.given_up,
            watch.kept,
            watch.retry_after,
            watch.cancelled,
            watch.probes_dropped,
            watch.probes_added
        );
    }
}

/// Prints the council's members and this proxy's role.
pub fn show_council(council: &CouncilStatus) {
    #[derive(Tabled)]
    struct Row<'a> {
        member: &'a str,
        life: u64,
        has: String,
    }
    fn row(voter: &VoterStatus) -> Row<'_> {
        Row {
            member: &voter.name,
            life: voter.generation,
            has: voter.log_index.map_or("-".to_owned(), |has| has.to_string()),
        }
    }
    println!("{}", Table::new(council.voters.iter().map(row)).with(Style::sharp()));
    let proved = if council.proved { "" } else { ", not proved yet" };
    println!("votes since decision {}{proved}", council.since);
    let leader = council.leader.as_deref().unwrap_or("no known leader");
    println!(
        "this proxy {:?} with life {}, term {}, led by {leader}",
        council.role, council.generation, council.term
    );
    println!(
        "decided {}, carried out {}, proved {}; comes to {}; known as of {}",
        council.decided,
        council.applied,
        council.certified,
        council.hash,
        council.age_ms.map_or("never".to_owned(), |age| format!("{:.1} s ago", age / 1000.0))
    );
    for voter in &council.non_voters {
        println!(
            "{} lost its state and has no vote: admit it again with life {}",
            voter.name, voter.generation
        );
    }
    if let Some(stopped) = &council.stopped {
        println!("stopped: {stopped}");
    }
}

/// Prints drains and unavailable proxies.
pub fn show_outs(outs: &AvailabilityStatus) {
    #[derive(Tabled)]
    struct Row<'a> {
        server: &'a str,
        pool: u16,
        by: &'a str,
        why: &'a str,
        decision: u64,
        here: usize,
    }
    #[derive(Tabled)]
    struct UnavailableRow<'a> {
        proxy: &'a str,
        how: &'a str,
        since: String,
        waits_for: &'a str,
    }
    fn row(drain: &DrainStatus) -> Row<'_> {
        let DrainStatus { server, pool, by, why, decision, conversations_here: here, .. } = drain;
        Row { server, pool: *pool, by, why, decision: *decision, here: *here }
    }
    fn unavailable_row(status: &UnavailabilityStatus) -> UnavailableRow<'_> {
        let since = status.since.map_or("-".to_owned(), |since| since.to_string());
        UnavailableRow { proxy: &status.proxy, how: &status.state, since, waits_for: &status.waits_for }
    }
    println!("{}", Table::new(outs.drains.iter().map(row)).with(Style::sharp()));
    println!("{}", Table::new(outs.proxies.iter().map(unavailable_row)).with(Style::sharp()));
    println!(
        "{} of at most {} proxies unavailable; {} witnesses to call one healthy",
        outs.proxies.len(),
        outs.max_unavailable,
        outs.witnesses
    );
    println!(
        "known as of {}",
        outs.age_ms.map_or("never".to_owned(), |age| format!("{:.1} s ago", age / 1000.0))
    );
}

/// Prints a release's phase and waves.
pub fn show_release(release: Option<&ReleaseStatus>) {
    let Some(release) = release else { return println!("no release is staged") };
    println!(
        "release {} of {:?} {}, by {}: {}",
        release.release, release.kind, release.sum, release.by, release.why
    );
    println!("{:?}; ready {}", release.phase, release.ready);
    for (proxy, why) in &release.rejected {
        println!("{proxy} rejects it: {why}");
    }
    for (i, (all, run)) in release.waves.iter().enumerate() {
        println!("wave {i}: {run} of {all} run it");
    }
}

/// Prints the scopes of distributed state and the channel's counters.
pub fn show_distribution(status: &DistributionStatus) {
    #[derive(Tabled)]
    struct Row<'a> {
        scope: &'a str,
        version: u64,
        entries: usize,
        age: String,
    }
    #[derive(Tabled)]
    struct DrainRow<'a> {
        server: &'a str,
        by: &'a str,
        why: &'a str,
        decision: u64,
    }
    fn row(status: &ScopeStatus) -> Row<'_> {
        let age = status.age_ms.map_or("-".to_owned(), seconds);
        Row { scope: &status.scope, version: status.version, entries: status.entries, age }
    }
    fn drain_row(status: &DistributedDrain) -> DrainRow<'_> {
        DrainRow { server: &status.server, by: &status.by, why: &status.why, decision: status.decision }
    }
    println!("{}", Table::new(status.scopes.iter().map(row)).with(Style::sharp()));
    if let Some(control) = &status.control {
        println!("{}", Table::new(status.drains.iter().map(drain_row)).with(Style::sharp()));
        let since = status.control_since_ms.map_or("-".to_owned(), seconds);
        println!("a subscriber of {control} for {since}; council since decision {}", status.council);
    }
    if let Some(served) = status.subscribers {
        println!(
            "a control machine with {} subscribers, {} of them fetching whole scopes; proved up to {}",
            served.sessions, served.snapshots, served.certified
        );
    }
    let channel = status.channel;
    println!(
        "sent {} packets, {} bytes; received {}, {} bytes; dropped: malformed {}, version {}, untagged {}, \
         forged {}, replayed {}, stray {}",
        channel.sent,
        channel.sent_bytes,
        channel.received,
        channel.received_bytes,
        channel.malformed,
        channel.version,
        channel.untagged,
        channel.forged,
        channel.replayed,
        channel.unexpected
    );
    let counts: Vec<String> = status.counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
    println!("{}", counts.join(", "));
}

/// Prints which subscribers have the newest changes.
pub fn show_changes(changes: &[ChangeStatus]) {
    #[derive(Tabled)]
    struct Row<'a> {
        version: u64,
        scope: &'a str,
        key: &'a str,
        change: &'a str,
        since: String,
        have: String,
        lacking: String,
    }
    fn row(status: &ChangeStatus) -> Row<'_> {
        let lacking =
            status.lacking.iter().map(|one| format!("{} for {}", one.subscriber, seconds(one.since_ms)));
        Row {
            version: status.version,
            scope: &status.scope,
            key: &status.key,
            change: if status.removed { "removed" } else { "set" },
            since: seconds(status.since_ms),
            have: format!("{} of {}", status.have, status.of),
            lacking: lacking.collect::<Vec<_>>().join(", "),
        }
    }
    println!("{}", Table::new(changes.iter().map(row)).with(Style::sharp()));
}

/// Formats milliseconds as seconds.
fn seconds(ms: f64) -> String {
    format!("{:.1} s", ms / 1000.0)
}
