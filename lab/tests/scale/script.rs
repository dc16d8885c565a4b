//! Scripts are parsed strictly, and faults affect the nodes that they name.

use lab::scale::layout::{Layout, LayoutTerms};
use lab::scale::script::{FaultKind, Script};
use rstest::rstest;

const VALID_SCRIPT: &str =
    "name = \"x\"\nwarm_up = 1.0\nseconds = 9.0\n[changes]\nevery = 1.0\nuntil = 8.0\n";

fn layout() -> Layout {
    Layout::new(LayoutTerms { proxies: 320, ..LayoutTerms::default() }, 1).expect("valid terms")
}

#[rstest]
fn built_in_scripts_fit_the_target(
    #[values("calm", "loss", "control-dead", "region-cut", "zone-back", "bad-day")] name: &str,
) {
    let script = Script::named(name).expect("valid");
    assert_eq!(script.name, name);
    script.check(&layout()).expect("fits");
}

#[rstest]
#[case::unknown_key("[[fault]]\nat = 1.0\nkind = \"kill_zone\"\nzone = 1\nzones = 2\n")]
#[case::unknown_kind("[[fault]]\nat = 1.0\nkind = \"flood\"\n")]
#[case::ends_too_late("[[fault]]\nat = 8.0\nfor = 2.0\nkind = \"kill_zone\"\nzone = 1\n")]
#[case::no_part("[[fault]]\nat = 1.0\nfor = 1.0\nkind = \"kill_proxies\"\npart = 1.5\n")]
fn an_invalid_script_is_rejected(#[case] fault: &str) {
    Script::parse(VALID_SCRIPT).expect("valid without the fault");
    assert!(Script::parse(&format!("{VALID_SCRIPT}{fault}")).is_err());
}

#[test]
fn a_fault_on_a_missing_zone_is_rejected_by_name() {
    let fault = "[[fault]]\nat = 1.0\nkind = \"kill_zone\"\nzone = 16\n";
    let script = Script::parse(&format!("{VALID_SCRIPT}{fault}")).expect("a valid script");
    let refused = script.check(&layout()).expect_err("16 zones are numbered to 15");
    assert_eq!(refused.to_string(), "zone 16 is not there: the layout has 16");
}

#[test]
fn an_unknown_script_name_lists_the_built_in_ones() {
    let error = format!("{:#}", Script::named("no-such").expect_err("none"));
    assert!(error.contains("built in are calm, loss"), "{error}");
}

#[rstest]
#[case::zone("kind = \"kill_zone\"\nzone = 3", 21)]
#[case::control("kind = \"kill_control\"\ncontrol = 4", 1)]
#[case::part("kind = \"pause_proxies\"\npart = 0.1", 32)]
#[case::burst("kind = \"burst\"\nchanges = 50", 0)]
fn a_fault_affects_the_nodes_it_names(#[case] kind: &str, #[case] count: usize) {
    let fault = format!("[[fault]]\nat = 1.0\nfor = 1.0\n{kind}\n");
    let script = Script::parse(&format!("{VALID_SCRIPT}{fault}")).expect("valid");
    let nodes = script.faults[0].affected_nodes(&layout(), 0, 7);
    assert_eq!(nodes.len(), count, "{nodes:?}");
    if let FaultKind::PauseProxies { .. } = script.faults[0].kind {
        assert!(nodes.iter().all(|&node| !layout().is_control(node)));
    }
}
