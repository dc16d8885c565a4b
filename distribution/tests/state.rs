//! The state of all scopes: versions, digests, proofs, and reading on from any cursor while it changes.

use distribution::content::{Content, EMPTY_DIGEST};
use distribution::cursor::Cursor;
use distribution::entry::{Change, Entry, InvalidEntry, Key, MAX_KEY_BYTES, MAX_VALUE_BYTES};
use distribution::merkle::{PathError, ScopeSummary};
use distribution::scope::Scope;
use distribution::state::{ApplyError, MIN_REMEMBERED_REMOVALS, ScopedState, SnapshotNeeded};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SERVICE: Scope = Scope::Service(7);

fn key(name: &str) -> Key {
    Key::new(name).expect("a valid key")
}

fn set(scope: Scope, name: &str, version: u64, value: &[u8]) -> Change {
    Change { scope, key: key(name), version, value: Some(value.to_vec()) }
}

fn remove(scope: Scope, name: &str, version: u64) -> Change {
    Change { scope, key: key(name), version, value: None }
}

fn state(changes: impl IntoIterator<Item = Change>) -> ScopedState {
    let mut state = ScopedState::default();
    changes.into_iter().for_each(|change| state.apply(change).expect("in order"));
    state
}

#[rstest]
#[case::empty("".to_owned(), Err(InvalidEntry::EmptyKey))]
#[case::longest("k".repeat(MAX_KEY_BYTES), Ok(()))]
#[case::too_long("k".repeat(MAX_KEY_BYTES + 1), Err(InvalidEntry::LongKey(MAX_KEY_BYTES + 1)))]
fn keys_are_bounded(#[case] name: String, #[case] expected: Result<(), InvalidEntry>) {
    assert_eq!(Key::new(name.clone()).map(drop), expected);
    let decoded: Result<Key, _> = postcard::from_bytes(&postcard::to_stdvec(&name).unwrap());
    assert_eq!(decoded.is_ok(), expected.is_ok());
}

#[test]
fn an_older_version_or_an_oversized_value_is_rejected_without_effect() {
    let mut state = state([set(SERVICE, "a", 5, b"1")]);
    let before = state.clone();
    let older = state.apply(set(SERVICE, "b", 4, b"2"));
    assert_eq!(older, Err(ApplyError::Older { given: 4, newest: 5 }));
    let long = state.apply(set(SERVICE, "b", 6, &[0; MAX_VALUE_BYTES + 1]));
    assert_eq!(long, Err(ApplyError::InvalidEntry(InvalidEntry::LongValue(MAX_VALUE_BYTES + 1))));
    assert_eq!(state, before);
    state.apply(set(SERVICE, "b", 5, b"2")).expect("the same decision may change several keys");
    state.apply(set(Scope::All, "b", 1, b"2")).expect("scopes have versions of their own");
}

#[test]
fn the_root_depends_on_every_key_version_value_and_scope() {
    let base = [set(SERVICE, "a", 1, b"1"), set(Scope::All, "b", 2, b"2")];
    let others = [
        [set(SERVICE, "c", 1, b"1"), base[1].clone()],
        [set(SERVICE, "a", 2, b"1"), base[1].clone()],
        [set(SERVICE, "a", 1, b"3"), base[1].clone()],
        [set(Scope::Zone(7), "a", 1, b"1"), base[1].clone()],
    ];
    let root = state(base.clone()).root();
    assert_eq!(state(base.iter().rev().cloned()).root(), root, "the order of scopes does not matter");
    for other in others {
        assert_ne!(state(other.clone()).root(), root, "{other:?}");
    }
    assert_ne!(root, ScopedState::default().root());
}

#[test]
fn a_proof_holds_only_for_its_own_scope_summary_and_root() {
    let scopes: Vec<Scope> = (0..300).map(Scope::Service).chain((0..16).map(Scope::Zone)).collect();
    let state = state(scopes.iter().map(|&scope| set(scope, "a", 3, b"1")));
    let root = state.root();
    for &scope in &scopes {
        let proof = state.proof(scope);
        assert_eq!(proof.verify(&root, scope), Ok(()));
        assert_eq!(proof.verify(&[1; 32], scope), Err(PathError::RootMismatch));
        assert!(proof.verify(&root, Scope::Service(1000)).is_err(), "it is for another scope");
        let mut forged = proof.clone();
        forged.summary.version = 4;
        assert_eq!(forged.verify(&root, scope), Err(PathError::RootMismatch));
        forged.summary = ScopeSummary::default();
        assert!(forged.verify(&root, scope).is_err(), "an existing scope is not absent");
    }
}

#[test]
fn absence_is_proved_and_cannot_be_forged() {
    let state = state((0..50).map(|number| set(Scope::Service(number), "a", 3, b"1")));
    let root = state.root();
    for scope in (50..2000).map(Scope::Service) {
        let proof = state.proof(scope);
        assert_eq!(proof.summary, ScopeSummary { digest: EMPTY_DIGEST, version: 0 });
        assert_eq!(proof.verify(&root, scope), Ok(()), "{scope}");
        let denied = (0..50).map(Scope::Service).find(|&there| proof.verify(&root, there).is_ok());
        assert_eq!(denied, None, "the proof that {scope} is absent proves another absent");
    }
    assert_eq!(ScopedState::default().proof(SERVICE).verify(&ScopedState::default().root(), SERVICE), Ok(()));
}

#[test]
fn proof_size_grows_with_the_logarithm_of_the_number_of_scopes() {
    let state = state((0..1300).map(|number| set(Scope::Service(number), "a", 3, b"1")));
    let sizes =
        (0..1300).map(|number| postcard::to_stdvec(&state.proof(Scope::Service(number))).unwrap().len());
    let (sum, most) = sizes.fold((0, 0), |(sum, most), size| (sum + size, most.max(size)));
    println!("1,300 scopes: proofs of {} bytes at the mean, {most} at the most", sum / 1300);
    assert!(sum / 1300 <= 500 && most <= 800, "{} {most}", sum / 1300);
}

#[test]
fn an_emptied_scope_keeps_its_version_and_has_the_empty_digest() {
    let state = state([set(SERVICE, "a", 1, b"1"), remove(SERVICE, "a", 2)]);
    assert_eq!(state.summary(SERVICE), ScopeSummary { digest: EMPTY_DIGEST, version: 2 });
    assert_eq!(state.proof(SERVICE).verify(&state.root(), SERVICE), Ok(()));
}

#[test]
fn a_state_survives_a_round_trip_and_a_damaged_one_is_rejected() {
    let removals = (0..100).map(|n| remove(SERVICE, &format!("r{n}"), 2));
    let changes = [set(SERVICE, "a", 1, b"1"), set(Scope::All, "b", 1, b"2")];
    let state = state(changes.into_iter().chain(removals));
    let bytes = postcard::to_stdvec(&state).unwrap();
    let back: ScopedState = postcard::from_bytes(&bytes).expect("its own encoding");
    assert_eq!((back.root(), &back), (state.root(), &state));
    let twice = vec![(SERVICE, 1u64, 0u64, vec![("a", 1u64, b"1".to_vec()); 2], Vec::<(Key, u64)>::new())];
    let damaged: Result<ScopedState, _> = postcard::from_bytes(&postcard::to_stdvec(&twice).unwrap());
    assert!(damaged.is_err(), "a key is repeated");
}

#[test]
fn removals_are_bounded_and_a_reader_that_missed_one_needs_a_snapshot() {
    let mut state = ScopedState::default();
    for version in 1..=1000 {
        state.apply(remove(SERVICE, &format!("r{version}"), version)).unwrap();
    }
    let floor = 1000 - MIN_REMEMBERED_REMOVALS as u64;
    let read = |base| state.changes(SERVICE, base, &Cursor::end_of(base), usize::MAX);
    assert_eq!(read(floor - 1), Err(SnapshotNeeded { floor }));
    assert_eq!(read(floor).expect("not forgotten").changes.len(), MIN_REMEMBERED_REMOVALS);
}

/// Reads a scope in small pieces from a base, after a cursor, while the state changes in between.
fn read_to_end(
    mut content: Content,
    base: u64,
    mut cursor: Cursor,
    state: &mut ScopedState,
    change_between: &mut dyn FnMut(&mut ScopedState),
) {
    loop {
        let Ok(run) = state.changes(SERVICE, base, &cursor, 60) else {
            let (base, cursor) = (state.version(), Cursor::end_of(0));
            return read_to_end(Content::default(), base, cursor, state, &mut |_| ());
        };
        for (version, key, value) in run.changes {
            cursor = Cursor::at(version, key.clone());
            match value {
                Some(value) => content.insert(Entry { key, version, value }),
                None => content.remove(&key),
            }
        }
        if run.complete {
            return assert_eq!(content.digest(), state.summary(SERVICE).digest);
        }
        change_between(state);
    }
}

fn change(rng: &mut Pcg64Mcg, version: u64) -> Change {
    let name = format!("k{}", rng.random_range(0..30));
    let removed = rng.random_bool(0.3);
    if removed { remove(SERVICE, &name, version) } else { set(SERVICE, &name, version, &[9]) }
}

#[rstest]
#[case::from_an_empty_reader(None)]
#[case::from_an_early_version(Some(40))]
#[case::from_the_newest_version(Some(150))]
fn reading_in_pieces_converges_while_the_state_changes(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[case] base: Option<u64>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut state, mut content) = (ScopedState::default(), Content::default());
    for step in 1..=300 {
        let version = step / 2;
        state.apply(change(&mut rng, version)).expect("in order");
        if base.is_some_and(|base| version <= base) {
            content = state.content(SERVICE).cloned().unwrap_or_default();
        }
    }
    let cursor = Cursor::end_of(base.unwrap_or(0));
    let base = base.unwrap_or(state.version());
    for _ in 0..20 {
        let mut version = state.version();
        read_to_end(content.clone(), base, cursor.clone(), &mut state.clone(), &mut |state| {
            version += 1;
            (0..2).for_each(|_| state.apply(change(&mut rng, version)).expect("in order"));
        });
    }
}
