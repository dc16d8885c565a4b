//! All orders of a few decisions, and longer random ones: grants never exceed the budget, a proxy that
//! leaves counts until it is confirmed healthy, and every state has a way back to available.

use std::collections::{BTreeSet, HashSet, VecDeque};

use agree::Id;
use outs::grants::{Command, Grants, Unavailability, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const PROXIES: [Id; 4] = [1, 2, 3, 4];
const MAX_UNAVAILABLE: u16 = 2;
const WITNESSES: u16 = 2;

fn new_grants() -> Grants {
    let mut grants = Grants::default();
    assert_eq!(
        grants.decide(1, Command::Budget { max_unavailable: MAX_UNAVAILABLE, witnesses: WITNESSES }),
        Verdict::Done
    );
    grants
}

fn grant(grants: &Grants, proxy: Id) -> u64 {
    match grants.unavailability(proxy) {
        Some(Unavailability::Granted { grant, .. }) => *grant,
        _ => 0,
    }
}

fn returned(proxy: Id) -> Command {
    Command::Returned { proxy, running_release: 7, caller_address: ([127, 0, 0, 1], 4569).into() }
}

/// All commands that any proxy could send next, in time or delayed.
fn possible_commands(grants: &Grants) -> Vec<Command> {
    let mut all = Vec::new();
    for proxy in PROXIES {
        let grant = grant(grants, proxy);
        all.extend([
            Command::Request { proxy, release: 7 },
            Command::Begin { proxy, grant },
            Command::Begin { proxy, grant: 2 },
            Command::Revoke { proxy, grant },
            returned(proxy),
        ]);
        for witness in [1, 2, 3] {
            all.extend([
                Command::Healthy { proxy, witness },
                Command::Suspected { proxy, witness },
                Command::SuspicionCleared { proxy, witness },
            ]);
        }
    }
    all.push(Command::WriteOff { proxy: 4, why: "burnt".into() });
    all
}

/// Checks the invariants of one decision.
fn check(before: &Grants, command: &Command, verdict: &Verdict, after: &Grants) {
    let (before_ids, after_ids): (BTreeSet<Id>, BTreeSet<Id>) =
        (before.unavailable().collect(), after.unavailable().collect());
    // Failures are not requested: only they can exceed the budget, and then nothing may be granted.
    let granted = matches!(command, Command::Request { .. }) && *verdict == Verdict::Done;
    assert!(
        !granted || after_ids.len() <= usize::from(MAX_UNAVAILABLE),
        "{command:?} with {before_ids:?} unavailable"
    );
    for proxy in PROXIES {
        // A proxy may go offline only by a grant that it holds.
        let begins = matches!(after.unavailability(proxy), Some(Unavailability::Offline { .. }));
        if begins && !matches!(before.unavailability(proxy), Some(Unavailability::Offline { .. })) {
            assert!(
                matches!(before.unavailability(proxy), Some(Unavailability::Granted { .. })),
                "{command:?}"
            );
        }
        // A proxy becomes available only by witnesses, by returning its grant, or by an operator.
        if before_ids.contains(&proxy) && !after_ids.contains(&proxy) {
            let allowed = matches!(
                command,
                Command::Healthy { .. }
                    | Command::SuspicionCleared { .. }
                    | Command::Revoke { .. }
                    | Command::WriteOff { .. }
            );
            assert!(allowed, "{command:?}");
        }
    }
}

/// In any state, the commands that eventually arrive make all proxies available.
fn assert_can_return(mut grants: Grants) {
    for proxy in PROXIES {
        let grant = grant(&grants, proxy);
        let mut commands = vec![Command::Revoke { proxy, grant }, returned(proxy)];
        for witness in PROXIES {
            commands
                .extend([Command::SuspicionCleared { proxy, witness }, Command::Healthy { proxy, witness }]);
        }
        for command in commands {
            grants.decide(99, command);
        }
        assert!(!grants.counts_as_unavailable(proxy), "{proxy}: {grants:?}");
    }
}

#[test]
fn four_decisions_in_any_order_keep_the_budget_and_allow_a_return() {
    let mut visited = HashSet::new();
    let mut next = VecDeque::from([(new_grants(), 2)]);
    while let Some((grants, decided)) = next.pop_front() {
        for command in possible_commands(&grants) {
            let mut after = grants.clone();
            let verdict = after.decide(decided, command.clone());
            check(&grants, &command, &verdict, &after);
            if visited.insert(format!("{after:?}")) && decided < 5 {
                assert_can_return(after.clone());
                next.push_back((after, decided + 1));
            }
        }
    }
    assert!(visited.len() > 5_000, "{}", visited.len());
}

#[test]
fn long_random_orders_keep_the_budget_and_allow_a_return() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut grants = new_grants();
        for decided in 2..200 {
            let all = possible_commands(&grants);
            let command = all[rng.random_range(0..all.len())].clone();
            let before = grants.clone();
            let verdict = grants.decide(decided, command.clone());
            check(&before, &command, &verdict, &grants);
        }
        assert_can_return(grants);
    }
}

#[rstest]
#[case::killed_between_grant_and_begin(&[Command::Request { proxy: 1, release: 7 }, Command::Revoke { proxy: 1, grant: 2 }], false)]
#[case::resumed_after_its_grant_was_revoked(
    &[Command::Request { proxy: 1, release: 7 }, Command::Revoke { proxy: 1, grant: 2 }, Command::Begin { proxy: 1, grant: 2 }], false
)]
#[case::killed_while_offline(&[Command::Request { proxy: 1, release: 7 }, Command::Begin { proxy: 1, grant: 2 }], true)]
#[case::killed_just_before_it_reports_its_return(
    &[Command::Request { proxy: 1, release: 7 }, Command::Begin { proxy: 1, grant: 2 }, Command::Suspected { proxy: 1, witness: 2 }], true
)]
#[case::confirmed_by_one_witness_only(
    &[Command::Request { proxy: 1, release: 7 }, Command::Begin { proxy: 1, grant: 2 }, returned(1),
      Command::Healthy { proxy: 1, witness: 2 }, Command::Healthy { proxy: 1, witness: 2 }], true
)]
#[case::its_own_confirmation_does_not_count(
    &[Command::Request { proxy: 1, release: 7 }, Command::Begin { proxy: 1, grant: 2 }, returned(1),
      Command::Healthy { proxy: 1, witness: 1 }, Command::Healthy { proxy: 1, witness: 2 }], true
)]
#[case::confirmed_by_enough_witnesses(
    &[Command::Request { proxy: 1, release: 7 }, Command::Begin { proxy: 1, grant: 2 }, returned(1),
      Command::Healthy { proxy: 1, witness: 2 }, Command::Healthy { proxy: 1, witness: 3 }], false
)]
#[case::written_off(
    &[Command::Request { proxy: 1, release: 7 }, Command::Begin { proxy: 1, grant: 2 },
      Command::WriteOff { proxy: 1, why: "burnt".into() }], false
)]
#[case::suspected_by_one(&[Command::Suspected { proxy: 1, witness: 2 }], false)]
#[case::suspected_by_enough(&[Command::Suspected { proxy: 1, witness: 2 }, Command::Suspected { proxy: 1, witness: 3 }], true)]
fn a_proxy_counts_against_the_budget_in_these_states(#[case] commands: &[Command], #[case] counts: bool) {
    let mut grants = new_grants();
    for (command, decided) in commands.iter().zip(2..) {
        grants.decide(decided, command.clone());
    }
    assert_eq!(grants.counts_as_unavailable(1), counts, "{grants:?}");
}

#[test]
fn no_grant_while_suspected_proxies_use_up_the_budget() {
    let mut grants = new_grants();
    for (lost, witness) in [(3, 1), (3, 2), (4, 1), (4, 2)] {
        grants.decide(2, Command::Suspected { proxy: lost, witness });
    }
    assert_eq!(
        grants.decide(3, Command::Request { proxy: 1, release: 7 }),
        Verdict::Full { unavailable: 2, max_unavailable: 2 }
    );
    grants.decide(4, Command::SuspicionCleared { proxy: 4, witness: 1 });
    assert_eq!(grants.decide(5, Command::Request { proxy: 1, release: 7 }), Verdict::Done);
    // A smaller budget recalls nobody.
    assert_eq!(grants.decide(6, Command::Budget { max_unavailable: 1, witnesses: 2 }), Verdict::Done);
    assert_eq!(grants.unavailable().count(), 2);
    assert_eq!(grants.decide(7, Command::Budget { max_unavailable: 0, witnesses: 2 }), Verdict::Invalid);
}
