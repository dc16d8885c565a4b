//! Cuts, loss and stalls apply when and where the script says.

use lab::scale::layout::{Layout, LayoutTerms, NodeId};
use lab::scale::network::{Network, Period, Stall};
use lab::scale::script::Script;
use rstest::rstest;

const CUT_ZONE: usize = 15;

fn loss(fault: &str, now: f64, inwards: bool) -> f64 {
    let layout = Layout::new(LayoutTerms { proxies: 64, ..LayoutTerms::default() }, 1).expect("valid");
    let head =
        "name = \"x\"\nwarm_up = 1.0\nseconds = 9.0\nloss = 0.1\n[changes]\nevery = 1.0\nuntil = 8.0\n";
    let script = Script::parse(&format!("{head}[[fault]]\nat = 2.0\nfor = 3.0\n{fault}\n")).expect("valid");
    let (inside, outside): (NodeId, NodeId) = (layout.nodes_in_zone(CUT_ZONE)[0], layout.nodes_in_zone(0)[0]);
    let (from, to) = if inwards { (outside, inside) } else { (inside, outside) };
    Network::new(&script).loss(now, &layout, from, to)
}

#[rstest]
#[case::both_out("kind = \"cut_zone\"\nzone = 15\nways = \"both\"", false, 1.0)]
#[case::both_in("kind = \"cut_zone\"\nzone = 15\nways = \"both\"", true, 1.0)]
#[case::out_stops_out("kind = \"cut_region\"\nregion = 5\nways = \"out\"", false, 1.0)]
#[case::out_lets_in("kind = \"cut_region\"\nregion = 5\nways = \"out\"", true, 0.1)]
#[case::in_stops_in("kind = \"cut_region\"\nregion = 5\nways = \"in\"", true, 1.0)]
#[case::another_zone("kind = \"cut_zone\"\nzone = 7\nways = \"both\"", true, 0.1)]
#[case::loss("kind = \"loss\"\npart = 0.3", true, 0.3)]
fn a_cut_or_loss_applies_only_to_its_links_and_period(
    #[case] fault: &str,
    #[case] inwards: bool,
    #[case] part: f64,
) {
    assert_eq!(loss(fault, 3_000.0, inwards), part);
    assert_eq!(loss(fault, 5_999.0, inwards), part);
    assert_eq!(loss(fault, 2_999.0, inwards), 0.1);
    assert_eq!(loss(fault, 6_000.0, inwards), 0.1);
}

#[rstest]
#[case::paused(Stall::Paused(Period { from: 100.0, until: 500.0 }), 200.0, 500.0)]
#[case::before(Stall::Paused(Period { from: 100.0, until: 500.0 }), 99.0, 99.0)]
#[case::after(Stall::Paused(Period { from: 100.0, until: 500.0 }), 500.0, 500.0)]
#[case::slow(Stall::Slow(Period { from: 100.0, until: 1_000.0 }, 150.0), 260.0, 400.0)]
#[case::slow_in_turn(Stall::Slow(Period { from: 100.0, until: 1_000.0 }, 150.0), 400.0, 400.0)]
#[case::slow_at_the_end(Stall::Slow(Period { from: 100.0, until: 450.0 }, 150.0), 401.0, 450.0)]
fn a_stalled_node_acts_later(#[case] stall: Stall, #[case] now: f64, #[case] acts_at: f64) {
    assert_eq!(stall.acts_at(now), acts_at);
}
