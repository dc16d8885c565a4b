//! The table of docs/CAPACITY.md and the files docs/capacity/*.json must agree with the raw samples, and the
//! fit must find the line through its points.

use std::fs;
use std::path::{Path, PathBuf};

use lab::capacity::figure::{Figure, Sample, Subject};
use lab::capacity::fit::Fit;
use lab::capacity::report::{Report, table};
use rstest::rstest;

const BEGIN: &str = "<!-- figures: begin -->\n";
const END: &str = "<!-- figures: end -->";

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs")
}

fn reports() -> Vec<Report> {
    Report::read_all(&docs().join("capacity")).expect("valid report files")
}

#[test]
fn the_table_on_the_page_matches_the_report_files() {
    let page = fs::read_to_string(docs().join("CAPACITY.md")).expect("the page can be read");
    let (_, after) = page.split_once(BEGIN).expect("the marker before the table");
    let (on_page, _) = after.split_once(END).expect("the marker after the table");
    assert_eq!(on_page.trim(), table(&reports()).expect("samples that allow a fit").trim());
}

#[test]
fn each_report_file_matches_its_own_samples() {
    let reports = reports();
    assert!(!reports.is_empty());
    for figure in reports.iter().flat_map(|report| &report.figures) {
        let recomputed = figure.recompute().expect("samples that allow a fit");
        let close = |a: f64, b: f64| (a - b).abs() <= 1e-9 * a.abs().max(1.0);
        assert!(close(recomputed.fit.slope, figure.fit.slope), "{}", figure.subject.id);
        assert!(close(recomputed.predicted, figure.predicted), "{}", figure.subject.id);
        assert!(close(recomputed.error, figure.error), "{}", figure.subject.id);
    }
}

#[test]
fn a_fit_through_points_of_a_line_finds_the_line() {
    let fit = Fit::least_squares(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("three sizes");
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.base - 3.0).abs() < 1e-9 && fit.spread < 1e-9);
    assert_eq!(fit.size_at_limit(13.0).map(f64::round), Some(5.0));
    assert_eq!(Fit::least_squares(&[(2.0, 7.0), (2.0, 8.0)]), None);
}

#[rstest]
#[case::four_sizes(&[1.0, 2.0, 3.0, 4.0, 8.0], true)]
#[case::three_sizes(&[1.0, 2.0, 3.0, 8.0], false)]
#[case::nothing_left_out(&[1.0, 2.0, 3.0, 4.0], false)]
fn a_figure_without_four_fitted_sizes_and_one_left_out_is_an_error(
    #[case] sizes: &[f64],
    #[case] is_valid: bool,
) {
    let subject = Subject {
        id: "cost".to_owned(),
        unit: "ms".to_owned(),
        by: "members".to_owned(),
        mechanism: "a file".to_owned(),
        limit: Some(7.0),
    };
    let samples = sizes.iter().map(|&size| Sample { size, seed: 0, value: 2.0 * size + 1.0 }).collect();
    let figure = Figure::from_samples(subject, samples, 8.0);
    assert_eq!(figure.is_ok(), is_valid);
    if let Ok(figure) = figure {
        assert!(figure.error.abs() < 1e-9);
        assert_eq!(figure.crossed_at.map(f64::round), Some(3.0));
    }
}
