//! Regions, zones, services and control machines match the operators' target.

use lab::scale::layout::{Layout, LayoutTerms, Scope};
use rstest::rstest;

fn layout(proxies: usize, seed: u64) -> Layout {
    Layout::new(LayoutTerms { proxies, ..LayoutTerms::default() }, seed).expect("valid terms")
}

#[test]
fn the_target_has_1300_services_of_which_the_largest_has_2000_proxies() {
    let target = layout(33_000, 1);
    let sizes = target.service_sizes();
    assert_eq!((sizes.len(), sizes[0]), (1_300, 2_000));
    assert_eq!(sizes.iter().sum::<usize>(), 33_000);
    assert!(sizes.iter().all(|&size| size >= 1));
    assert!(sizes[10] < 1_000 && sizes[650] < 25, "{sizes:?} are uneven");
}

#[rstest]
fn each_proxy_has_one_service_at_any_fleet_size(#[values(1, 2, 26, 40, 333, 1_000, 10_000)] proxies: usize) {
    let laid_out = layout(proxies, 1);
    assert_eq!(laid_out.service_sizes().iter().sum::<usize>(), proxies);
    assert_eq!(laid_out.node_count(), proxies + 18);
}

#[test]
fn each_region_has_its_zones_and_three_control_machines_in_them() {
    let target = layout(33_000, 1);
    assert_eq!((0..6).map(|region| target.zones_in_region(region).len()).sum::<usize>(), 16);
    for region in 0..6 {
        let controls = (0..target.controls).filter(|&control| target.site(control).region == region);
        assert_eq!(controls.count(), 3);
    }
    let sizes: Vec<usize> = (0..16).map(|zone| target.nodes_in_zone(zone).len()).collect();
    assert!(sizes.iter().all(|size| (2_060..2_070).contains(size)), "{sizes:?}");
}

#[test]
fn no_two_voters_share_a_region() {
    let target = layout(100, 1);
    let mut regions: Vec<usize> = target.voters().iter().map(|&voter| target.site(voter).region).collect();
    regions.sort_unstable();
    regions.dedup();
    assert_eq!(regions.len(), 5);
}

#[test]
fn a_proxy_subscribes_to_its_region_zone_and_services_and_a_control_machine_to_nothing() {
    let laid_out = layout(1_000, 1);
    assert_eq!(laid_out.scopes(0), Vec::new());
    for node in laid_out.controls..laid_out.node_count() {
        let (scopes, site) = (laid_out.scopes(node), laid_out.site(node));
        assert_eq!(scopes[..2], [Scope::All, Scope::Region(site.region as u16)]);
        assert_eq!(scopes[2], Scope::Zone(site.zone as u16));
        let mut services = scopes[3..].to_vec();
        services.sort_unstable();
        services.dedup();
        assert_eq!(services.len(), 5, "its own service and four called ones");
    }
}

#[test]
fn delays_grow_from_zone_to_region_to_other_regions() {
    let laid_out = layout(1_000, 1);
    let (one, near) = (laid_out.nodes_in_zone(0)[0], laid_out.nodes_in_zone(0)[1]);
    let (next, far) = (laid_out.nodes_in_zone(1)[0], laid_out.nodes_in_zone(15)[0]);
    assert_eq!((laid_out.delay(one, near), laid_out.delay(one, next)), (0.3, 1.0));
    assert!((20.0..=120.0).contains(&laid_out.delay(one, far)));
    assert_eq!(laid_out.delay(one, far), laid_out.delay(far, one));
    assert_eq!(laid_out.min_delay_between_zones(), Some(1.0));
}

#[test]
fn a_layout_depends_on_its_seed_only() {
    let scopes = |seed| (18..1_018).map(|node| layout(1_000, seed).scopes(node)).collect::<Vec<_>>();
    let first = scopes(1);
    assert_eq!(first, scopes(1));
    assert_ne!(first, scopes(2));
}

#[test]
fn an_address_maps_back_to_its_node() {
    let laid_out = layout(33_000, 1);
    for node in [0, 255, 256, 33_017] {
        assert_eq!(laid_out.node_at(Layout::address(node)), Some(node));
    }
    assert_eq!(laid_out.node_at(Layout::address(33_018)), None);
}

#[rstest]
#[case::no_proxies(LayoutTerms { proxies: 0, ..LayoutTerms::default() })]
#[case::too_few_zones(LayoutTerms { zones: 5, ..LayoutTerms::default() })]
#[case::more_voters_than_controls(LayoutTerms { voters: 19, ..LayoutTerms::default() })]
#[case::delays_out_of_order(LayoutTerms { zone_delay: 2.0, ..LayoutTerms::default() })]
fn contradictory_terms_are_rejected(#[case] terms: LayoutTerms) {
    assert!(Layout::new(terms, 1).is_err());
}
