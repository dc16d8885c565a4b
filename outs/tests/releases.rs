//! A release through all orders of a few decisions: no proxy gets a grant before its wave or after a halt,
//! and rolling back from any state ends with no proxy running it.

use std::collections::{HashSet, VecDeque};

use agree::{Id, Machine};
use outs::grants::{self, Unavailability};
use outs::releases::{self, Kind, Phase};
use outs::{AVAILABILITY_PART, Availability, Command, Verdict};

const PROXIES: [Id; 3] = [1, 2, 3];
const RELEASE: u64 = 2;

fn decide(availability: &mut Availability, index: u64, command: &Command) -> Verdict {
    Verdict::decode(
        &availability.decide(index, AVAILABILITY_PART, &command.encode()).expect("a known command"),
    )
    .expect("a verdict")
}

fn stage() -> Command {
    let (by, why) = ("p1".to_owned(), String::new());
    Command::Releases(releases::Command::Stage { kind: Kind::Program, sum: [7; 32], by, why, unix_ms: 0 })
}

fn ready(proxy: Id) -> Command {
    Command::Releases(releases::Command::Ready { release: RELEASE, proxy })
}

fn start() -> Command {
    Command::Releases(releases::Command::Start { release: RELEASE, proxies: PROXIES.len() as u16 })
}

fn staged() -> Availability {
    let mut availability = Availability::default();
    decide(
        &mut availability,
        1,
        &Command::Grants(grants::Command::Budget { max_unavailable: 1, witnesses: 1 }),
    );
    decide(&mut availability, RELEASE, &stage());
    availability
}

/// The commands that could come next. A returned proxy may run the release or what ran before it.
fn possible_commands(availability: &Availability) -> Vec<Command> {
    let mut commands = vec![
        Command::Releases(releases::Command::Halt { release: RELEASE, why: "bad".into() }),
        Command::Releases(releases::Command::RollBack { release: RELEASE }),
        start(),
    ];
    commands
        .extend((0..3).map(|wave| Command::Releases(releases::Command::OpenWave { release: RELEASE, wave })));
    for proxy in PROXIES {
        let grant = match availability.grants.unavailability(proxy) {
            Some(Unavailability::Granted { grant, .. }) => *grant,
            _ => 0,
        };
        let (witness, caller_address) = (proxy % 3 + 1, ([127, 0, 0, 1], 4569).into());
        commands.extend([
            Command::Grants(grants::Command::Request { proxy, release: RELEASE }),
            Command::Grants(grants::Command::Begin { proxy, grant }),
            Command::Grants(grants::Command::Returned { proxy, running_release: RELEASE, caller_address }),
            Command::Grants(grants::Command::Returned { proxy, running_release: 0, caller_address }),
            Command::Grants(grants::Command::Healthy { proxy, witness }),
        ]);
    }
    commands
}

fn running_count(availability: &Availability) -> usize {
    PROXIES.iter().filter(|&&proxy| availability.releases.running_release(proxy) == RELEASE).count()
}

/// The commands that eventually arrive roll the release back, so that no proxy runs it.
fn assert_rolls_back(mut availability: Availability) {
    let back = Command::Releases(releases::Command::RollBack { release: RELEASE });
    decide(&mut availability, 50, &back);
    for round in 0..8 {
        for proxy in PROXIES {
            let grant = 100 + round;
            let (witness, caller_address) = (proxy % 3 + 1, ([127, 0, 0, 1], 4569).into());
            for command in [
                grants::Command::Request { proxy, release: RELEASE },
                grants::Command::Begin { proxy, grant },
                grants::Command::Returned { proxy, running_release: 0, caller_address },
                grants::Command::Healthy { proxy, witness },
            ] {
                decide(&mut availability, grant, &Command::Grants(command));
            }
        }
    }
    assert_eq!(running_count(&availability), 0, "{availability:?}");
    let is_finished = availability.releases.current().expect("staged").is_finished();
    assert!(is_finished && availability.grants.unavailable().count() == 0, "{availability:?}");
}

#[test]
fn no_order_grants_before_the_wave_or_after_a_halt_and_every_rollback_ends() {
    let mut availability = staged();
    PROXIES.iter().for_each(|&proxy| {
        assert!(matches!(decide(&mut availability, 3, &ready(proxy)), Verdict::Releases(_)))
    });
    let mut visited = HashSet::new();
    let mut next = VecDeque::from([(availability, 4)]);
    while let Some((availability, index)) = next.pop_front() {
        for command in possible_commands(&availability) {
            let mut after = availability.clone();
            let verdict = decide(&mut after, index, &command);
            if let Command::Grants(grants::Command::Request { proxy, .. }) = command
                && verdict == Verdict::Grants(grants::Verdict::Done)
            {
                let release = availability.releases.current().expect("staged");
                let wave = release.wave_of(proxy).expect("started");
                let open = match release.phase {
                    Phase::Running { wave: open } => wave <= open,
                    Phase::GoingBack => availability.releases.running_release(proxy) == RELEASE,
                    _ => false,
                };
                assert!(open, "{command:?} in {release:?}");
            }
            let halted = matches!(after.releases.current().map(|of| &of.phase), Some(Phase::Halted { .. }));
            let granted = after
                .grants
                .unavailabilities()
                .any(|(_, unavailability)| matches!(unavailability, Unavailability::Granted { .. }));
            assert!(!(halted && granted), "granted after a halt: {command:?}");
            if visited.insert(format!("{after:?}")) {
                assert_rolls_back(after.clone());
                next.push_back((after, index + 1));
            }
        }
    }
    assert!(visited.len() > 60, "too few states: {}", visited.len());
}

#[test]
fn a_release_starts_only_when_all_are_ready_and_no_other_is_in_progress() {
    let mut availability = staged();
    decide(&mut availability, 3, &ready(1));
    let rejected =
        Command::Releases(releases::Command::Rejected { release: RELEASE, proxy: 2, why: "no disk".into() });
    decide(&mut availability, 4, &rejected);
    decide(&mut availability, 5, &ready(3));
    let decide_release =
        |availability: &mut Availability, command: &Command| match decide(availability, 6, command) {
            Verdict::Releases(verdict) => verdict,
            other => panic!("{other:?}"),
        };
    assert_eq!(
        decide_release(&mut availability, &start()),
        releases::Verdict::NotReady { ready: 2, proxies: 3 }
    );
    assert_eq!(
        decide_release(&mut availability, &stage()),
        releases::Verdict::AnotherInProgress { release: RELEASE }
    );
    decide(&mut availability, 7, &ready(2));
    assert_eq!(decide_release(&mut availability, &start()), releases::Verdict::Done);
    let waves = &availability.releases.current().expect("staged").waves;
    assert_eq!(waves.iter().map(Vec::len).collect::<Vec<_>>(), [1, 1, 1], "{waves:?}");
    let mut other = Availability::default();
    other.restore(9, &availability.state()).expect("its own state is readable");
    assert_eq!(other, availability);
}

#[test]
fn no_more_proxies_request_than_the_budget_has_places() {
    const ALL: u64 = 40;
    let mut availability = Availability::default();
    decide(
        &mut availability,
        1,
        &Command::Grants(grants::Command::Budget { max_unavailable: 4, witnesses: 1 }),
    );
    decide(&mut availability, RELEASE, &stage());
    (0..ALL).for_each(|proxy| {
        assert!(matches!(decide(&mut availability, 3, &ready(proxy)), Verdict::Releases(_)))
    });
    decide(
        &mut availability,
        4,
        &Command::Releases(releases::Command::Start { release: RELEASE, proxies: ALL as u16 }),
    );
    let (mut index, mut requested) = (5, 0);
    for _ in 0..200 {
        let next: Vec<Id> = (0..ALL)
            .filter(|&proxy| {
                availability.releases.next_change(proxy).is_some()
                    && availability.grants.unavailability(proxy).is_none()
            })
            .filter(|&proxy| availability.may_request(proxy))
            .collect();
        assert!(next.len() + availability.grants.unavailable().count() <= 4, "{next:?}");
        let caller_address = ([127, 0, 0, 1], 4569).into();
        for proxy in next {
            requested += 1;
            let grant = index;
            let steps = [
                grants::Command::Request { proxy, release: RELEASE },
                grants::Command::Begin { proxy, grant },
                grants::Command::Returned { proxy, running_release: RELEASE, caller_address },
                grants::Command::Healthy { proxy, witness: (proxy + 1) % ALL },
            ];
            for step in steps {
                assert_eq!(
                    decide(&mut availability, index, &Command::Grants(step)),
                    Verdict::Grants(grants::Verdict::Done)
                );
                index += 1;
            }
        }
        if let Some((release, wave)) = availability.releases.next_wave() {
            decide(
                &mut availability,
                index,
                &Command::Releases(releases::Command::OpenWave { release, wave }),
            );
            index += 1;
        }
    }
    assert!(availability.releases.current().expect("staged").is_finished());
    assert_eq!(requested, ALL, "a request was in vain");
}
