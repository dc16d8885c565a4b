//! A release without effect continues; one that serves worse is halted, sooner with more traffic.

use agree::Id;
use outs::evidence::{COMPARED_PERIODS, Evidence, FALSE_ALARM, Judgement, MIN_CONVERSATIONS, Report};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const PROXIES: u64 = 40;
/// Proxies that run the release after each wave but the last.
const RELEASED: [u64; 3] = [1, 2, 4];

/// A proxy's report for a period. Each conversation succeeds with the proxy's own probability, reduced by
/// `worse` where it runs the release.
fn report(rng: &mut Pcg64Mcg, proxy: Id, traffic: f64, worse: f64) -> Report {
    let own = 0.85 + 0.1 * (proxy as f64 * 0.618).fract();
    let conversations = (traffic * (0.5 + rng.random::<f64>())) as u16;
    let earned = (0..conversations).filter(|_| rng.random::<f64>() < own * (1.0 - worse)).count();
    let earned = earned as f32 / f32::from(conversations.max(1));
    let quantile = (0.2 + 0.1 * rng.random::<f64>()) as f32;
    Report { conversations, earned, failed: 1.0 - earned, setup_quantile: (quantile * 50.0).ceil() / 50.0 }
}

/// Runs a release through its waves. Returns the wave after which it was halted.
fn run_release(seed: u64, traffic: f64, worse: f64) -> Option<usize> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut evidence = Evidence::default();
    let mut period = 0;
    let mut run_period = |evidence: &mut Evidence, released: u64, period: &mut u64| {
        *period += 1;
        for proxy in 0..PROXIES {
            let worse = if proxy < released { worse } else { 0.0 };
            evidence.record(*period, proxy, report(&mut rng, proxy, traffic, worse));
        }
    };
    (0..40).for_each(|_| run_period(&mut evidence, 0, &mut period));
    evidence.start_release(7);
    for (wave, released) in RELEASED.into_iter().enumerate() {
        loop {
            run_period(&mut evidence, released, &mut period);
            match evidence.judge(period, 7, wave, |id| id < released) {
                Judgement::Wait => assert!(period < 1_000, "waits forever"),
                Judgement::Go => break,
                Judgement::Halt { .. } => return Some(wave),
            }
        }
    }
    None
}

#[test]
fn a_release_without_effect_is_rarely_halted() {
    let runs = 400;
    let alarms = (0..runs).filter(|&seed| run_release(seed, 40.0, 0.0).is_some()).count();
    eprintln!("{alarms} false alarms in {runs}");
    // Twice the stated rate, as this number of runs does not measure it more exactly.
    assert!((alarms as f64) < 2.0 * FALSE_ALARM * runs as f64, "{alarms} of {runs}");
}

#[rstest]
#[case::a_third_worse(0.33, 40.0, 0.95)]
#[case::a_tenth_worse(0.1, 200.0, 0.9)]
#[case::three_in_a_hundred_worse(0.03, 2000.0, 0.9)]
#[case::three_in_a_hundred_worse_with_little_traffic(0.03, 200.0, 0.9)]
#[case::three_in_a_hundred_worse_with_very_little(0.03, 40.0, 0.2)]
fn a_release_that_serves_worse_is_halted_before_the_last_wave(
    #[case] worse: f64,
    #[case] traffic: f64,
    #[case] min_halted: f64,
) {
    let waves: Vec<_> = (0..60).map(|seed| run_release(seed, traffic, worse)).collect();
    let halted = waves.iter().flatten().count() as f64 / 60.0;
    let first_two = waves.iter().flatten().filter(|&&wave| wave < 2).count();
    eprintln!(
        "{worse} worse with {traffic} conversations per period: {halted:.2} halted, {first_two} of 60 by the first two waves"
    );
    assert!(halted >= min_halted, "{halted}");
}

#[test]
fn too_little_traffic_gives_no_verdict() {
    let mut evidence = Evidence::default();
    let quiet =
        Report { conversations: MIN_CONVERSATIONS - 1, earned: 0.0, failed: 1.0, setup_quantile: 1.0 };
    for period in 1..200 {
        (0..PROXIES).for_each(|proxy| evidence.record(period, proxy, quiet));
        assert_eq!(evidence.judge(period, 7, 0, |id| id == 0), Judgement::Wait);
    }
    let healthy = Report { conversations: MIN_CONVERSATIONS, earned: 1.0, failed: 0.0, setup_quantile: 0.1 };
    for period in 200..200 + COMPARED_PERIODS as u64 {
        assert_eq!(evidence.judge(period, 7, 0, |id| id == 0), Judgement::Wait);
        (0..PROXIES).for_each(|proxy| evidence.record(period, proxy, healthy));
    }
    assert_eq!(evidence.judge(200 + COMPARED_PERIODS as u64, 7, 0, |id| id == 0), Judgement::Go);
}

#[rstest]
#[case(&[1, 2, 3])]
#[case(&Report { earned: f32::NAN, ..Report::default() }.encode())]
#[case(&Report { failed: 7.0, ..Report::default() }.encode())]
fn a_malformed_or_out_of_range_report_is_rejected(#[case] bytes: &[u8]) {
    assert_eq!(Report::decode(bytes), None);
}
