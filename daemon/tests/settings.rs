//! Settings: the example is valid, and all errors of a file are reported at once.

use std::path::Path;

use daemon::settings::{self, DistributionRole, EXAMPLE, SubscriberSettings};
use distribution::Scope;
use rstest::rstest;

#[test]
fn the_example_is_valid() {
    let parsed = settings::read(EXAMPLE).expect("valid");
    assert_eq!(parsed.terms.terms.grades.len(), 2);
    assert_eq!(parsed.terms.terms.release, 300.0);
    assert_eq!(parsed.terms.terms.max_retry_after, Some(2000.0));
    assert_eq!(parsed.terms.caller_timeout, [3000.0, 9000.0]);
    assert_eq!(parsed.terms.routes.find("", "255"), Some((1, 1)));
    assert_eq!(parsed.terms.routes.tenant("north", ""), Some(0));
}

#[test]
fn five_errors_are_reported_at_once_with_line_and_key() {
    let file = EXAMPLE
        .replace("proxies = 4", "proxies = 0")
        .replace("feed =", "feeds =")
        .replace("cancel = true", "cancel = 3")
        .replace("quoted = \"2 s\"", "quoted = \"2 parsecs\"")
        .replace("pool = 1", "pool = 9");
    let faults = settings::read(&file).expect_err("invalid");
    let reported: Vec<(usize, &str)> = faults.iter().map(|fault| (fault.line, &fault.key[..])).collect();
    let line = |text: &str| file.lines().position(|line| line.starts_with(text)).expect("there") + 1;
    for (start, key) in [
        ("proxies = 0", "proxy.proxies"),
        ("feeds", "pool.feeds"),
        ("cancel = 3", "rules.cancel"),
        ("quoted = \"2 parsecs\"", "grade[0].quoted"),
    ] {
        assert!(reported.contains(&(line(start), key)), "{key} in {reported:?}");
    }
    let pool = faults.iter().find(|fault| fault.key == "route[1].pool").expect("reported");
    assert_eq!((&pool.found[..], &pool.wanted[..]), ("9", "one of the pools of grade slot"));
}

#[rstest]
#[case::no_toml("[proxy", "TOML")]
#[case::nothing("", "a table")]
#[case::quoted_over_limit(&EXAMPLE.replace("limit = \"9 s\"", "limit = \"1 s\""), "at most limit, 1000 ms")]
#[case::two_of_a_name(&EXAMPLE.replace("name = \"slot\"", "name = \"open\""), "a unique name")]
fn an_error_says_what_is_wanted(#[case] file: &str, #[case] wanted: &str) {
    let faults = settings::read(file).expect_err("invalid");
    assert!(faults.iter().any(|fault| fault.wanted == wanted), "{faults:?}");
}

#[test]
fn the_example_with_its_optional_tables_is_valid() {
    let keys = ["[", "listen", "address", "seeds", "key", "fleet_keys", "roster", "cap", "beat", "liars"];
    let fleet = ["window", "lease", "drift", "spread", "floor", "most", "share_window"];
    let council = ["members", "file", "pool_part", "proxy_part", "witnesses", "well", "judged", "span"];
    let distribution =
        ["role", "heartbeat", "subscribers", "most_subscribers", "bytes_per_second", "snapshots_at_once"];
    let distribution = [&distribution[..], &["subscriber_bytes_per_second"]].concat();
    let other_keys = ["folder", "promise", "delay", "patience", "segment", "share", "probe", "setups_repeat"];
    let with_optional_tables: Vec<&str> = EXAMPLE
        .lines()
        .map(|line| {
            let uncommented = line.strip_prefix("# ").unwrap_or(line);
            let key = uncommented.split(" = ").next().unwrap_or_default();
            let optional = uncommented.starts_with('[')
                || [&keys[..], &fleet, &council, &distribution, &other_keys]
                    .iter()
                    .any(|of| of.contains(&key));
            if optional { uncommented } else { line }
        })
        .collect();
    let parsed = settings::read(&with_optional_tables.join("\n")).expect("valid");
    assert!(
        parsed.gossip.is_some()
            && parsed.fleet_limits.is_some()
            && parsed.records.is_some()
            && parsed.proposed_terms.is_some()
    );
    let distribution = parsed.distribution.expect("reported");
    assert_eq!(distribution.heartbeat, 1000.0);
    let DistributionRole::Control(served) = distribution.role else { panic!("{distribution:?}") };
    assert_eq!((served.max_subscribers, served.snapshots_at_once), (4096, 64));
    let council = parsed.council.expect("reported");
    assert_eq!((council.members.len(), council.heartbeat, council.lease), (3, 200.0, 10_000.0));
}

#[test]
fn proposed_rules_take_missing_keys_from_the_rules_in_force() {
    let watch = "[watch]\nprobe = false\nsetups_repeat = false\ncold_from = 0.3\n";
    let parsed = settings::read(&EXAMPLE.replace("[iax2]\n", &format!("{watch}[iax2]\n"))).expect("valid");
    let (now, then) = (&parsed.terms.terms, &parsed.proposed_terms.as_ref().expect("watched").terms);
    assert_eq!(
        (now.may_probe, now.resend_after, now.initial_capacity_share, now.respect_retry_after),
        (true, 500.0, 0.0, false)
    );
    assert_eq!(
        (then.may_probe, then.resend_after, then.initial_capacity_share, then.respect_retry_after),
        (false, 0.0, 0.3, false)
    );
    assert_eq!((then.max_retry_after, then.max_attempts), (now.max_retry_after, now.max_attempts));
    assert_eq!(
        (then.release, then.cold_duration, then.proxies),
        (now.release, now.cold_duration, now.proxies)
    );
    assert!(settings::read(EXAMPLE).expect("valid").proposed_terms.is_none());
}

#[test]
fn fleet_limits_without_gossip_or_with_a_short_lease_are_rejected() {
    let file =
        EXAMPLE.replace("[iax2]\n", "[fleet]\nlease = \"100 ms\"\nbeat = \"80 ms\"\nrate = 3\n[iax2]\n");
    let faults = settings::read(&file).expect_err("invalid");
    let reported: Vec<(&str, &str)> = faults.iter().map(|f| (&f.key[..], &f.wanted[..])).collect();
    assert!(reported.contains(&("fleet.lease", "at least two times beat")), "{reported:?}");
    assert!(reported.iter().any(|(key, _)| *key == "fleet.rate"), "{reported:?}");
    assert!(reported.iter().any(|(_, wanted)| wanted.starts_with("[gossip] beside it")), "{reported:?}");
    assert!(settings::read(EXAMPLE).expect("valid").fleet_limits.is_none(), "off by default");
}

#[rstest]
#[case::without_gossip("[council]\nmembers = [\"a\", \"b\", \"c\"]\n", "council", "[gossip] beside it")]
#[case::an_even_council("[council]\nmembers = [\"a\", \"b\"]\n", "council.members", "3, 5 or 7")]
#[case::a_name_twice("[council]\nmembers = [\"a\", \"b\", \"a\"]\n", "council.members", "each name once")]
#[case::a_lease_shorter_than_40_heartbeats(
    "[council]\nmembers = [\"a\", \"b\", \"c\"]\nbeat = \"1 s\"\nlease = \"2 s\"\n",
    "council.lease",
    "at least 40 times beat"
)]
#[case::an_unknown_key("[council]\nmembers = []\nterm = 3\n", "council.term", "one of beat")]
#[case::budgets_without_a_council("[outs]\n", "outs", "[council] beside it")]
#[case::a_budget_of_nothing("[outs]\npool_part = 0\n", "outs.pool_part", "above 0")]
fn an_invalid_council_or_budget_is_reported(#[case] table: &str, #[case] key: &str, #[case] wanted: &str) {
    let faults =
        settings::read(&EXAMPLE.replace("[iax2]\n", &format!("{table}[iax2]\n"))).expect_err("invalid");
    let reported = faults.iter().find(|fault| fault.key == key && fault.wanted.contains(wanted));
    assert!(reported.is_some_and(|fault| fault.line > 1), "{faults:?}");
    assert!(settings::read(EXAMPLE).expect("valid").council.is_none(), "off by default");
}

#[test]
fn an_invalid_proposed_rule_is_reported_with_its_key() {
    let file = EXAMPLE.replace("[iax2]\n", "[watch]\nprobes = false\ncold_from = 3.0\n[iax2]\n");
    let faults = settings::read(&file).expect_err("invalid");
    let keys: Vec<&str> = faults.iter().map(|fault| &fault.key[..]).collect();
    assert_eq!(keys, ["watch.probes", "watch.cold_from"], "in the order of the lines");
}

const SUBSCRIBER: &str = r#"[distribution]
role = "subscriber"
heartbeat = "500 ms"
listen = "127.0.0.1:0"
key = "p9.key"
fleet_keys = ["fleet.key"]
roster = "controls.toml"
region = 1
founders = ["p1", "p2", "p3"]
scopes = ["all", "region 1", "zone 7", "service 70000"]
[[distribution.control]]
name = "p1"
address = "127.0.0.1:4571"
region = 0
[[distribution.control]]
name = "p2"
address = "127.0.0.1:4572"
region = 1
"#;
const CONTROL: &str = "[distribution]\nrole = \"control\"\nsubscribers = \"subscribers.toml\"\n";

fn with(tables: &str) -> String {
    EXAMPLE.replace("[iax2]\n", &format!("{tables}[iax2]\n"))
}

fn subscriber(file: &str) -> SubscriberSettings {
    let parsed = settings::read(file).expect("valid").distribution.expect("reported");
    let DistributionRole::Subscriber(subscriber) = parsed.role else { panic!("{parsed:?}") };
    subscriber
}

#[test]
fn a_subscriber_names_its_scopes_and_control_machines() {
    let parsed = subscriber(&with(SUBSCRIBER));
    let scopes = [Scope::All, Scope::Region(1), Scope::Zone(7), Scope::Service(70_000)];
    assert_eq!(Vec::from_iter(parsed.scopes), scopes);
    let controls: Vec<(&str, u16)> = parsed.controls.iter().map(|of| (&of.name[..], of.region)).collect();
    assert_eq!((controls, parsed.region), (vec![("p1", 0), ("p2", 1)], 1));
    assert_eq!(parsed.file, Path::new("frostthread-state/distribution"));
    assert!(settings::read(EXAMPLE).expect("valid").distribution.is_none(), "off by default");
}

#[test]
fn the_subscriber_of_the_example_is_valid() {
    let start = EXAMPLE.find("#   listen = ").expect("there");
    let lines = EXAMPLE[start..].lines().map_while(|line| line.strip_prefix("#   "));
    let lines: Vec<&str> = lines.collect();
    let table = format!("[distribution]\nrole = \"subscriber\"\n{}\n", lines.join("\n"));
    assert_eq!(subscriber(&with(&table)).controls.len(), 1);
}

#[rstest]
#[case::no_role("[distribution]\nheartbeat = \"1 s\"\n".to_owned(), "distribution.role", "\"control\" or")]
#[case::another_role(SUBSCRIBER.replace("subscriber", "watcher"), "distribution.role", "\"control\" or")]
#[case::control_without_gossip(CONTROL.to_owned(), "distribution", "[gossip] beside it")]
#[case::control_without_council(CONTROL.to_owned(), "distribution", "[council] beside it")]
#[case::subscriber_with_gossip(
    SUBSCRIBER.to_owned() + "[gossip]\n", "distribution", "none beside a subscriber"
)]
#[case::subscriber_with_council(
    SUBSCRIBER.to_owned() + "[council]\n", "distribution", "none beside a subscriber"
)]
#[case::a_key_of_the_other_role(
    CONTROL.to_owned() + "scopes = [\"all\"]\n", "distribution.scopes", "one of bytes_per_second"
)]
#[case::no_scope(SUBSCRIBER.replace("zone 7", "zone"), "distribution.scopes", "a list of")]
#[case::a_zone_too_far(SUBSCRIBER.replace("zone 7", "zone 70000"), "distribution.scopes", "a list of")]
#[case::an_even_council(SUBSCRIBER.replace(", \"p3\"", ""), "distribution.founders", "3, 5 or 7 names")]
#[case::a_name_twice(SUBSCRIBER.replace("\"p2\"\n", "\"p1\"\n"), "distribution.control", "each name once")]
#[case::no_control(
    SUBSCRIBER.split("[[").next().expect("a table").to_owned(), "distribution.control", "1 to 256 tables"
)]
#[case::a_control_without_address(
    SUBSCRIBER.replace("address = \"127.0.0.1:4572\"", ""), "distribution.control[1].address", "an address"
)]
#[case::a_control_with_a_key_more(
    SUBSCRIBER.to_owned() + "zone = 3\n", "distribution.control[1].zone", "one of address"
)]
fn an_invalid_distribution_is_reported(#[case] table: String, #[case] key: &str, #[case] wanted: &str) {
    let faults = settings::read(&with(&table)).expect_err("invalid");
    let reported = faults.iter().find(|fault| fault.key == key && fault.wanted.contains(wanted));
    assert!(reported.is_some_and(|fault| fault.line > 1), "{faults:?}");
}
