//! Frames of the wire in both directions: valid exchanges and malformed frames.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

fn frame(records: &[(u8, Vec<u8>)]) -> Vec<u8> {
    let mut body = Vec::new();
    for (code, fields) in records {
        body.push(*code);
        body.extend((fields.len() as u32).to_le_bytes());
        body.extend(fields);
    }
    let mut frame = (records.len() as u32).to_le_bytes().to_vec();
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(10.0f64.to_le_bytes());
    frame.extend(body);
    frame
}

const SETUP: &str = "balancers=2\nrank=0\nbounds.max_attempts=4\nbounds.retry_after=false\n\
    bounds.cancel=true\n\
    bounds.may_probe=true\nbounds.peers=true\ndomain.clear_wait=0.3\ndomain.gives_wait=true\n\
    domain.repeat=0.5\n\
    domain.network_form=skills\ndomain.pools_by_class.0=0\ndomain.mean_hold=8.1\n\
    profiles.count=1\nprofiles.0.objective=2.0\n\
    profiles.0.deadline=9.0\nprofiles.0.worth=1.0\nprofiles.0.late_worth=0.1\n\
    profiles.0.effect=repeatable\nfeedback.names=idle,circuits,pending,max_rate\nrules.cold=14.0\n\
    rules.drain_grace=0.5\nrules.cold_from=0.28\nrules.overload_factor=2.5\nrules.fall=1.0\nnew.key=x\n";

const SERVER: [u8; 6] = [10, 18, 74, 7, 139, 19];

fn launch(setup: &str) -> (u8, Vec<u8>) {
    (1, [&7u64.to_le_bytes()[..], &(setup.len() as u32).to_le_bytes(), setup.as_bytes()].concat())
}

fn switch_to(who: u32) -> (u8, Vec<u8>) {
    (6, who.to_le_bytes().to_vec())
}

fn inventory() -> (u8, Vec<u8>) {
    let entry = [&1f32.to_le_bytes()[..], &SERVER, &[0; 4], &[1, 0, 0], &0f64.to_le_bytes()].concat();
    (4, [&[0][..], &1u32.to_le_bytes(), &entry].concat())
}

fn membership(scope: u8) -> (u8, Vec<u8>) {
    (3, [&[scope][..], &41u32.to_le_bytes(), &[0]].concat())
}

fn job_in(req: u64, grade: u8) -> (u8, Vec<u8>) {
    let head = [&req.to_le_bytes()[..], &[0], &5u64.to_le_bytes(), &3f64.to_le_bytes(), &[0; 4], &[grade]];
    let tail = [&0f64.to_le_bytes()[..], &(-1f32).to_le_bytes(), &0f32.to_le_bytes(), &1f32.to_le_bytes()];
    (8, [head.concat(), tail.concat()].concat())
}

fn start() -> Vec<(u8, Vec<u8>)> {
    vec![inventory(), switch_to(3), launch(SETUP), membership(2)]
}

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostthread-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading before all input is written.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_clean() {
    let output = run_adapter(&frame(&[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, 0u32.to_le_bytes());
}

#[test]
fn an_attempt_is_sent_under_its_instance() {
    let mut records = start();
    records.push(job_in(77, 0));
    let output = run_adapter(&frame(&records));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let mut expected_prefix = vec![1, 4, 0, 0, 0, 3, 0, 0, 0, 5, 22, 0, 0, 0];
    expected_prefix.extend(77u64.to_le_bytes());
    expected_prefix.extend(SERVER);
    assert_eq!(output.stdout[4..4 + expected_prefix.len()], expected_prefix);
    assert_eq!(output.stdout, run_adapter(&frame(&records)).stdout, "the same input gives the same output");
}

#[test]
fn a_halt_and_a_launch_in_one_batch_start_a_new_instance() {
    let mut records = start();
    records.extend([job_in(77, 0), (9, vec![]), launch(SETUP), membership(2)]);
    // A record about a conversation of the previous instance is ignored.
    records.push((2, 77u64.to_le_bytes().to_vec()));
    assert!(run_adapter(&frame(&records)).status.success());
}

#[test]
fn several_instances_share_a_process_but_no_state() {
    let mut records = start();
    records.extend([switch_to(4), launch(SETUP), membership(2), job_in(77, 0), switch_to(3), job_in(77, 0)]);
    let output = run_adapter(&frame(&records));
    assert!(output.status.success());
    let switches = output.stdout[4..].windows(9).filter(|w| w[0] == 1 && w[1] == 4 && w[2..5] == [0; 3]);
    assert_eq!(switches.count(), 2, "each instance has its own answer");
}

fn without(key: &str) -> (u8, Vec<u8>) {
    launch(&SETUP.lines().filter(|line| !line.starts_with(key)).map(|l| format!("{l}\n")).collect::<String>())
}

#[rstest]
#[case::a_truncated_header(vec![1, 0, 0], "batch header")]
#[case::a_truncated_body(frame(&start())[..40].to_vec(), "batch body")]
#[case::a_corrupt_length([&[1, 0, 0, 0, 255, 255, 255, 255][..], &[0; 8]].concat(), "length")]
#[case::a_record_count_over_the_body([&[9, 0, 0, 0, 0, 0, 0, 0][..], &[0; 8]].concat(), "code")]
#[case::a_short_record(frame(&[switch_to(3), (1, vec![0; 5])]), "launch: field salt")]
#[case::a_record_too_long(frame(&[(6, vec![0; 5])]), "switch_to: 1 bytes")]
#[case::a_list_shorter_than_its_count(frame(&[(4, vec![0, 9, 0, 0, 0])]), "inventory: field members")]
#[case::an_unknown_scope(frame(&[&start()[..], &[membership(7)]].concat()), "membership: field scope")]
#[case::an_unknown_code(frame(&[(99, vec![])]), "code 99")]
#[case::no_instance_named(frame(&[launch(SETUP)]), "launch")]
#[case::an_unknown_grade(frame(&[&start()[..], &[job_in(1, 9)]].concat()), "job_in: field category")]
#[case::a_missing_setting(frame(&[switch_to(3), without("domain.repeat")]), "domain.repeat")]
#[case::no_mean_hold_for_a_grade(
    frame(&[switch_to(3), launch(&SETUP.replace("mean_hold=8.1", "mean_hold="))]), "domain.mean_hold"
)]
#[case::an_invalid_setting(frame(&[switch_to(3), launch("balancers=many\n")]), "launch: setting")]
fn malformed_input_ends_the_process_with_one_error_line(#[case] input: Vec<u8>, #[case] expected_text: &str) {
    let output = run_adapter(&input);
    let stderr_text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr_text}");
    assert!(stderr_text.contains(expected_text) && stderr_text.lines().count() == 1, "{stderr_text}");
}
