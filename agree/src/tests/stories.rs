//! Named troubles, one story each.

use rstest::rstest;

use super::world::{BEAT, LEASE, World};
use crate::wire::{Message, write};
use crate::{Outcome, Refusal, Role, disk};

fn settled(proxies: usize, founders: usize, seed: u64) -> World {
    let mut world = World::new(proxies, founders, seed);
    world.until("a leader", 5_000.0, |world| world.leader().is_some());
    world.ask(0);
    world.until("a line", 5_000.0, |world| world.history[0].ended.is_some());
    world.settles(5_000.0);
    world
}

fn sound(world: &mut World) {
    world.is_linear();
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
}

/// Lines come in at those that run, for a while.
fn busy(world: &mut World, span: f64) {
    let end = world.now + span;
    while world.now < end {
        for place in 0..world.proxies.len() {
            world.ask(place);
            world.read(place);
        }
        world.pass(100.0);
    }
}

#[rstest]
#[case::three(3, 3)]
#[case::five_of_twelve(12, 5)]
#[case::seven(7, 7)]
fn all_started_at_once_find_a_leader_and_all_come_to_know_what_is_decided(
    #[case] proxies: usize,
    #[case] founders: usize,
) {
    let mut world = settled(proxies, founders, 1);
    busy(&mut world, 1_000.0);
    world.pass(1_000.0);
    world.settles(5_000.0);
    assert!(world.history.iter().all(|asked| asked.ended.is_some()), "{:?}", world.history);
    for place in 0..proxies {
        let status = world.status(place);
        assert!(status.age < LEASE, "{status:?}");
        assert_eq!(status.role == Role::Outside, place >= founders);
    }
    sound(&mut world);
}

#[test]
fn a_council_halved_goes_on_in_its_greater_half_and_begins_nothing_in_the_other() {
    let mut world = settled(7, 5, 2);
    let leader = world.leader().expect("leads");
    let other = (leader + 1) % 5;
    let rest: Vec<usize> = (0..7).filter(|place| ![leader, other].contains(place)).collect();
    world.links.partition(&[leader, other], &rest);
    let cut = world.status(other).applied;
    world.ask(leader);
    world.until("another leader", 5_000.0, |world| world.leader().is_some_and(|new| new != leader));
    busy(&mut world, 1_000.0);
    assert!(world.status(rest[0]).applied > cut + 10);
    assert_eq!(world.status(other).applied, cut, "decided without a majority");
    assert!(world.status(other).age > LEASE, "took itself for fresh");
    world.settles(5_000.0);
    sound(&mut world);
}

#[test]
fn a_leader_that_is_heard_but_hears_nobody_makes_room() {
    let mut world = settled(5, 5, 3);
    let leader = world.leader().expect("leads");
    let rest: Vec<usize> = (0..5).filter(|&place| place != leader).collect();
    world.links.cut(&rest, &[leader], true);
    world.until("another leader", 5_000.0, |world| world.leader().is_some_and(|new| new != leader));
    busy(&mut world, 500.0);
    world.settles(5_000.0);
    sound(&mut world);
}

#[test]
fn a_leader_stopped_for_four_seconds_wakes_deposed_and_reads_nothing_old() {
    let mut world = settled(5, 5, 4);
    let leader = world.leader().expect("leads");
    world.stop(leader, 4_000.0);
    world.until("another leader", 4_000.0, |world| world.leader().is_some_and(|new| new != leader));
    let other = (leader + 1) % 5;
    (0..5).for_each(|_| world.ask(other));
    let to_wake = world.stopped[leader] - world.now;
    world.pass(to_wake);
    (0..5).for_each(|_| world.read(leader));
    world.pass(2_000.0);
    assert!(world.status(leader).age < LEASE);
    world.settles(5_000.0);
    sound(&mut world);
}

#[test]
fn a_member_whose_disk_is_lost_has_no_vote_until_it_is_let_in_anew() {
    let mut world = settled(3, 3, 5);
    busy(&mut world, 500.0);
    world.proxies[2] = None;
    world.disks[2] = Default::default();
    world.start(2);
    world.pass(3_000.0);
    assert_eq!(world.status(2).role, Role::Barred);
    // With another away the vote of the one that lost its own would be wanted.
    let gone = if world.leader() == Some(0) { 1 } else { 0 };
    world.crash(gone);
    let applied = world.status(1 - gone).applied;
    busy(&mut world, 2_000.0);
    assert_eq!(world.status(1 - gone).applied, applied, "decided by a vote that was lost");
    world.start(gone);
    world.until("let in", 20_000.0, |world| {
        world.let_in();
        world.pass(200.0);
        world.status(2).role == Role::Follows
    });
    world.crash(gone);
    world.until("a leader", 10_000.0, |world| world.leader().is_some());
    busy(&mut world, 500.0);
    assert!(world.status(2).applied > applied + 5);
    world.settles(5_000.0);
    sound(&mut world);
}

#[test]
fn an_older_copy_of_a_disk_is_found_out_by_what_the_others_know() {
    let mut world = settled(3, 3, 6);
    let leader = world.leader().expect("leads");
    let other = (leader + 1) % 3;
    let copy = world.disks[other].holds.clone();
    busy(&mut world, 1_000.0);
    world.crash(other);
    world.disks[other].holds = copy;
    world.start(other);
    world.until("found out", 3_000.0, |world| world.status(other).counts.outdated == 1);
    assert_eq!(world.status(other).role, Role::Barred);
    busy(&mut world, 500.0);
    world.settles(5_000.0);
    sound(&mut world);
}

/// A follower that lost its disk, and the other follower. It is let in anew while it is heard but hears nobody;
/// then it is handed the proofs of its new seat, before any of the log.
fn seated_before_its_log(seed: u64) -> (World, usize, usize) {
    let mut world = settled(3, 3, seed);
    busy(&mut world, 500.0);
    let leader = world.leader().expect("leads");
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    world.crash(lost);
    world.disks[lost] = Default::default();
    world.links.cut(&[leader, other], &[lost], true);
    world.start(lost);
    let disk_id = world.proxy(lost).kept.disk_id;
    world.until("let in anew", 5_000.0, |world| {
        world.let_in();
        let status = world.status(leader);
        status.council_proved
            && status.council.voter(lost as u64).is_some_and(|voter| voter.disk_id == disk_id)
    });
    let (now, links) = (world.clock(lost), world.proxy(leader).kept.links.clone());
    let proxy = world.proxy(lost);
    for link in links {
        proxy.receive(now, leader as u64, &write(&Message::Council { link: Box::new(link) }));
    }
    assert!(proxy.is_seated() && !proxy.founding.checked, "its seat is proved, its disk not checked");
    assert_eq!(proxy.kept.log.last().index, 0, "the proof came before the log");
    world.links.heal();
    (world, lost, other)
}

#[rstest]
fn one_let_in_anew_whose_seat_is_proved_before_its_log_comes_votes(#[values(30, 31, 32, 33, 34)] seed: u64) {
    let (mut world, lost, other) = seated_before_its_log(seed);
    world.until("it votes", 3_000.0, |world| world.status(lost).role == Role::Follows);
    assert_eq!(world.status(lost).counts.outdated, 0, "taken for an older copy of its former life's disk");
    world.crash(other);
    let applied = world.status(lost).applied;
    busy(&mut world, 1_000.0);
    assert!(world.status(lost).applied > applied + 5, "nothing is decided without its vote");
    world.settles(5_000.0);
    sound(&mut world);
}

#[rstest]
fn an_older_copy_of_a_disk_is_found_out_under_any_seat_of_its_member(
    #[values(false, true)] let_in_anew: bool,
    #[values(false, true)] it_led: bool,
) {
    let (mut world, member) = if let_in_anew {
        let (mut world, lost, _) = seated_before_its_log(35);
        world.until("it votes", 3_000.0, |world| world.status(lost).role == Role::Follows);
        world.settles(5_000.0);
        (world, lost)
    } else {
        let world = settled(3, 3, 36);
        let member = (world.leader().expect("leads") + 1) % 3;
        (world, member)
    };
    let copy = world.disks[member].holds.clone();
    while it_led && world.leader() != Some(member) {
        let leader = world.leader().expect("leads");
        world.crash(leader);
        world.until("another leader", 5_000.0, |world| world.leader().is_some());
        world.start(leader);
        world.settles(5_000.0);
    }
    busy(&mut world, 1_000.0);
    world.crash(member);
    world.disks[member].holds = copy;
    world.start(member);
    world.until("found out", 3_000.0, |world| world.status(member).counts.outdated == 1);
    assert_eq!(world.status(member).role, Role::Barred);
    busy(&mut world, 500.0);
    world.settles(5_000.0);
    sound(&mut world);
}

#[test]
fn a_copy_of_a_disk_from_before_its_founder_voted_is_found_out() {
    let mut world = World::new(3, 3, 38);
    let ready = |world: &mut World| {
        disk::recover(&world.disks[1].holds).is_ok_and(|kept| kept.stage == crate::wire::Stage::Ready)
    };
    world.until("ready", 5_000.0, ready);
    let copy = world.disks[1].holds.clone();
    world.settles(5_000.0);
    busy(&mut world, 1_000.0);
    world.crash(1);
    world.disks[1].holds = copy;
    world.start(1);
    world.until("found out", 3_000.0, |world| world.status(1).counts.outdated == 1);
    assert_eq!(world.status(1).role, Role::Barred);
    busy(&mut world, 500.0);
    world.settles(5_000.0);
    sound(&mut world);
}

#[rstest]
#[case::whole(0.0)]
#[case::torn(0.5)]
fn a_disk_that_is_full_in_the_middle_of_a_vote_gives_none_and_is_well_again_later(#[case] part: f64) {
    let mut world = settled(3, 3, 7);
    let leader = world.leader().expect("leads");
    world.crash(leader);
    let others: Vec<usize> = (0..3).filter(|&place| place != leader).collect();
    others.iter().for_each(|&place| world.disks[place].refuses = true);
    world.until("refused", 5_000.0, |world| {
        others.iter().any(|&place| world.status(place).role == Role::Unwritten)
    });
    if part > 0.0 {
        let place = others[0];
        world.disks[place].holds.extend([0xc7, 0x5d, 40, 0, 1]);
        world.restart(place);
    }
    world.until("a leader", 10_000.0, |world| world.leader().is_some());
    busy(&mut world, 500.0);
    world.settles(5_000.0);
    sound(&mut world);
}

#[rstest]
#[case::empty(&[], disk::RecoveryError::Empty)]
#[case::rubbish(&[7; 300], disk::RecoveryError::Empty)]
fn a_file_that_says_nothing_is_no_state(#[case] bytes: &[u8], #[case] lost: disk::RecoveryError) {
    assert_eq!(disk::recover(bytes).expect_err("nothing there"), lost);
}

#[test]
fn a_file_is_whole_torn_at_its_end_or_not_to_be_trusted() {
    let mut world = settled(3, 3, 8);
    busy(&mut world, 1_000.0);
    let whole = world.disks[0].holds.clone();
    let kept = disk::recover(&whole).expect("sound");
    for cut in (whole.len() - 60..whole.len()).step_by(7) {
        let torn = disk::recover(&whole[..cut]).expect("a torn tail is cut");
        assert!(torn.log.last().index <= kept.log.last().index);
    }
    for at in (0..whole.len() - 200).step_by(97) {
        let mut damaged = whole.clone();
        damaged[at] ^= 0x10;
        assert!(disk::recover(&damaged).is_err(), "byte {at}");
    }
}

#[test]
fn one_that_comes_late_gets_a_snapshot_in_pieces_and_goes_on_from_there() {
    let mut world = settled(6, 3, 9);
    world.crash(5);
    let follower = (0..3).find(|&place| Some(place) != world.leader()).expect("follows");
    world.crash(follower);
    let end = world.now + 8_000.0;
    while world.now < end {
        (0..5).filter(|&place| place != follower).for_each(|place| world.ask(place));
        world.pass(50.0);
    }
    let far = world.status(4).applied;
    assert!(far > 400, "{far}");
    world.start(5);
    world.start(follower);
    world.settles(10_000.0);
    let lines = world.proxy(0).machine().lines.clone();
    assert_eq!(world.proxy(5).machine().lines, lines);
    assert!(world.proxy(5).kept.log.base().index > 0, "it came by a snapshot");
    world.restart(follower);
    world.settles(10_000.0);
    sound(&mut world);
}

#[test]
fn a_council_changes_seat_by_seat_and_those_who_follow_learn_it_by_proofs() {
    let mut world = settled(7, 3, 10);
    world.crash(6);
    for (id, disk_id) in [(3, 1), (4, 1), (0, 0)] {
        let leader = world.leader().expect("leads");
        let council = world.status(leader).council;
        // 0 goes; 3 and 4 come by the lives that their new disks will have drawn.
        let disk_id = world.proxies[id].as_ref().map_or(disk_id, |proxy| proxy.kept.disk_id);
        let next = match council.voter(id as u64) {
            Some(_) => council.without(id as u64),
            None => council.with(crate::Voter { id: id as u64, disk_id }),
        };
        let now = world.clock(leader);
        let two = next.without(1);
        assert_eq!(world.proxy(leader).propose_council(now, two), Err(Refusal::NotOneVoter));
        world.until("the change", 10_000.0, |world| {
            let Some(leader) = world.leader() else { return false };
            let now = world.clock(leader);
            let _ = world.proxy(leader).propose_council(now, next.clone());
            world.pass(200.0);
            let status = world.status(leader);
            status.council == next && status.council_proved
        });
    }
    let council: Vec<u64> = world.status(1).council.ids().collect();
    assert_eq!(council, [1, 2, 3, 4]);
    // One that knows only the founders goes from proof to proof.
    world.settles(10_000.0);
    assert_eq!(world.status(6).council, world.status(1).council);
    world.crash(1);
    world.until("a leader", 10_000.0, |world| world.leader().is_some());
    busy(&mut world, 500.0);
    world.settles(10_000.0);
    sound(&mut world);
}

#[test]
fn a_change_of_the_council_that_is_told_as_done_is_believed_by_all_though_its_leader_goes_at_once() {
    let mut world = settled(5, 3, 37);
    let leader = world.leader().expect("leads");
    let member = (leader + 1) % 3;
    let without = world.status(leader).council.without(member as u64);
    // Of the two that are left the leader must sign for the third to be back.
    let disk_id = world.status(leader).council.voter(member as u64).expect("a founder").disk_id;
    let with = without.with(crate::Voter { id: member as u64, disk_id });
    for council in [without, with] {
        world.until("the one before is proved", 5_000.0, |world| world.status(leader).council_proved);
        let asked = world.ask_council(leader, council);
        world.until("told as done", 5_000.0, |world| world.history[asked].ended.is_some());
    }
    world.crash(leader);
    world.until("another leader", 5_000.0, |world| world.leader().is_some());
    world.ask(4);
    world.until("known outside", 5_000.0, |world| world.history.last().is_some_and(|a| a.ended.is_some()));
    world.settles(5_000.0);
    sound(&mut world);
}

#[test]
fn whoever_does_not_know_a_command_stops_there_and_says_so() {
    let mut world = settled(5, 3, 11);
    world.proxy(4).machine_mut().old = true;
    let now = world.clock(0);
    let request = world.proxy(0).propose(now, 9, 7u64.to_le_bytes().to_vec()).expect("room");
    world.ask(0);
    world.pass(2_000.0);
    let status = world.status(4);
    assert!(status.stopped.is_some_and(|what| what.contains("no such part")));
    assert_eq!(world.proxy(4).machine().lines.len(), 1, "nothing after it either");
    assert!(world.proxy(3).machine().lines.len() == 3);
    assert_eq!(world.proxy(0).outcome(), None, "told already: {request}");
}

#[test]
fn what_nobody_may_say_is_counted_and_changes_nothing() {
    let mut world = settled(5, 3, 12);
    let before = world.status(0);
    let now = world.clock(0);
    let junk = [&[][..], &[2], &[9, 9, 9], &[2; 900], &[2, 255, 255, 255]];
    junk.iter().for_each(|bytes| world.proxy(0).receive(now, 4, bytes));
    // One without a seat asks for votes, leads, and proves by no signatures.
    let log = world.proxy(0).kept.log.clone();
    let (term, last) = (before.term + 5, log.last());
    let seal = crate::certificate::Certificate {
        statement: crate::certificate::Statement {
            index: last.index + 1,
            hash: [1; 32],
            snapshot_index: 0,
            snapshot_digest: [0; 32],
            version: 0,
            council_digest: log.council().digest(),
            state_root: [0; 32],
        },
        signatures: (0..3).map(|id| (id, vec![3; 64])).collect(),
    };
    let forged = [
        Message::Ask { term, trial: false, disk_id: 0, index: 99, of: term },
        Message::Append {
            term,
            round: 1,
            disk_id: 0,
            prev: last.index,
            hash: last.hash,
            entries: Vec::new(),
            decided: 99,
        },
        Message::Tell { seal },
        Message::Vote { term, trial: false, granted: true, disk_id: 0 },
        Message::FreshIs { nonce: [4; 16], index: 0, signature: vec![4; 64] },
    ];
    forged.iter().for_each(|message| world.proxy(0).receive(now, 4, &write(message)));
    let after = world.status(0);
    assert_eq!((after.term, after.applied, after.certified), (before.term, before.applied, before.certified));
    assert!(after.counts.malformed + after.counts.unknown >= 5, "{:?}", after.counts);
    assert!(after.counts.stray >= 2 && after.counts.unproved >= 1, "{:?}", after.counts);
    sound(&mut world);
}

/// `AGREE_PROXIES` measures more of them.
#[test]
fn how_long_a_new_leader_and_a_decision_take() {
    let proxies = std::env::var("AGREE_PROXIES").ok().and_then(|n| n.parse().ok()).unwrap_or(40);
    let (mut leaders, mut known, mut idle) = (Vec::new(), [Vec::new(), Vec::new()], Vec::new());
    for seed in 20..30 {
        let mut world = settled(proxies, 5, seed);
        let (began, messages, bytes) = (world.now, world.links.messages, world.bytes);
        world.pass(5_000.0);
        let beats = (world.now - began) / BEAT;
        let each = |all: u64| all as f64 / beats / proxies as f64;
        idle.push((each(world.links.messages - messages), each(world.bytes - bytes)));
        let leader = world.leader().expect("leads");
        world.crash(leader);
        leaders.push(world.until("another", 10_000.0, |world| world.leader().is_some()) / BEAT);
        for (known, loss) in known.iter_mut().zip([0.0, 0.3]) {
            world.links.loss = loss;
            world.pass(1_000.0);
            world.ask(10);
            let line = world.history.last().and_then(|asked| asked.line).expect("a line");
            let all = |world: &mut World| {
                world.proxies.iter().flatten().all(|proxy| proxy.machine().lines.contains(&line))
            };
            known.push(world.until("known to all", 30_000.0, all) / BEAT);
        }
        sound(&mut world);
    }
    // In beats; the bounds that docs/agree.md states.
    assert!(leaders.iter().all(|&beats| beats < 60.0), "{leaders:?}");
    assert!(known.iter().flatten().all(|&beats| beats < 80.0), "{known:?}");
    eprintln!(
        "{proxies} proxies, beats to a leader {leaders:.0?}, until all know, whole links and 30% lost: {known:.0?}"
    );
    eprintln!("at rest, messages and bytes of each in a beat {idle:.2?}");
}

#[test]
fn a_request_is_answered_once_and_forgotten_when_nobody_waits() {
    let mut world = settled(4, 3, 13);
    let now = world.clock(3);
    assert_eq!(world.proxy(3).propose(now, 0, vec![0; 500]), Err(Refusal::TooLong));
    let request = world.proxy(3).propose(now, 0, 9u64.to_le_bytes().to_vec()).expect("room");
    world.links.duplication = 0.5;
    let mut told = Vec::new();
    for _ in 0..200 {
        // Without the world's own reading of outcomes.
        world.pass(5.0);
        told.extend(world.proxy(3).outcome());
    }
    assert!(told.len() <= 1, "{told:?}");
    assert!(told.iter().all(|(of, outcome)| *of == request && matches!(outcome, Outcome::Decided { .. })));
    assert_eq!(world.proxy(0).machine().lines, [1, 9]);
}
