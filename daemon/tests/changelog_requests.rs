//! When the change log is asked, against simulated change logs with a simulated clock.

use daemon::changelog_requests::{RequestAction, RequestId, RequestSchedule};
use rstest::rstest;

const TICK_MS: f64 = 10.0;
/// What a change log tells is known to be told by then after a move, and set-ups must follow it after the grace.
const TOLD_AFTER_MOVE_MS: f64 = 4000.0;
const DRAIN_GRACE_MS: f64 = 500.0;
/// A change log answers within this time or refuses the request.
const ANSWER_TIMEOUT_MS: f64 = 2000.0;
const RETRY_WAIT_MS: f64 = 500.0;
/// An open response carries a comment at this interval.
const COMMENT_INTERVAL_MS: f64 = 1000.0;

/// What a change log does with a request, by when it was made and its number.
type Behaviour = Box<dyn Fn(f64, usize) -> Response>;

#[derive(Clone, Copy)]
enum Response {
    /// The first data comes after this wait, and then a comment at each interval.
    After(f64),
    /// It is refused at once.
    Refused,
    /// Nothing ever arrives on its connection.
    Nothing,
}

struct SimulatedRequest {
    id: RequestId,
    response: Response,
    next_data_at: f64,
}

struct Simulation {
    now: f64,
    schedule: RequestSchedule,
    behaviour: Behaviour,
    open: Vec<SimulatedRequest>,
    started: usize,
    /// No open response carries anything in this time.
    silence: (f64, f64),
    /// When data arrived.
    received_at: Vec<f64>,
}

impl Simulation {
    fn new(behaviour: impl Fn(f64, usize) -> Response + 'static) -> Self {
        Self {
            now: 0.0,
            schedule: RequestSchedule::default(),
            behaviour: Box::new(behaviour),
            open: Vec::new(),
            started: 0,
            silence: (f64::INFINITY, f64::INFINITY),
            received_at: Vec::new(),
        }
    }

    fn perform_actions(&mut self) {
        while let Some(action) = self.schedule.next_action(self.now) {
            match action {
                RequestAction::Start(id) => {
                    let response = (self.behaviour)(self.now, self.started);
                    self.started += 1;
                    let next_data_at = match response {
                        Response::After(wait) => self.now + wait,
                        Response::Refused | Response::Nothing => f64::INFINITY,
                    };
                    self.open.push(SimulatedRequest { id, response, next_data_at });
                }
                RequestAction::GiveUp(id) => self.open.retain(|request| request.id != id),
            }
        }
    }

    fn deliver(&mut self) {
        let is_refused = |request: &mut SimulatedRequest| matches!(request.response, Response::Refused);
        for refused in self.open.extract_if(.., is_refused) {
            self.schedule.failed(refused.id, self.now + RETRY_WAIT_MS);
        }
        let is_silent = (self.silence.0..self.silence.1).contains(&self.now);
        let now = self.now;
        if let Some(request) = self.open.iter_mut().find(|r| r.next_data_at <= now && !is_silent) {
            request.next_data_at = now + COMMENT_INTERVAL_MS;
            let dropped = self.schedule.received(now, request.id);
            self.open.retain(|request| !dropped.contains(&request.id));
            self.received_at.push(now);
        }
    }

    fn run_until(&mut self, end: f64) {
        while self.now < end {
            self.perform_actions();
            self.deliver();
            self.now += TICK_MS;
        }
    }
}

/// Guards against requests that are given up before a crowded change log comes to them.
#[test]
fn a_request_is_answered_however_long_its_turn_takes() {
    for wait in (0..=4000).step_by(100) {
        let mut simulation = Simulation::new(move |_, _| Response::After(f64::from(wait)));
        simulation.run_until(20_000.0);
        assert_eq!(simulation.received_at.first(), Some(&f64::from(wait)), "a wait of {wait} ms");
    }
}

#[test]
fn a_change_log_that_answers_in_time_gets_one_request() {
    for wait in (0..ANSWER_TIMEOUT_MS as usize).step_by(100) {
        let mut simulation = Simulation::new(move |_, _| Response::After(wait as f64));
        simulation.run_until(20_000.0);
        assert_eq!(simulation.started, 1, "a wait of {wait} ms");
    }
}

/// The first connection after a move carries nothing, or the change log is too crowded at first.
#[rstest]
#[case::dead_connection(|_, number| number == 0, Response::Nothing)]
#[case::refused_for_a_second(|at, _| at < 1000.0, Response::Refused)]
fn news_after_a_move_is_read_in_time(
    #[case] is_disturbed: fn(f64, usize) -> bool,
    #[case] disturbance: Response,
) {
    for wait in (0..=ANSWER_TIMEOUT_MS as usize).step_by(100) {
        let crowded = Response::After(wait as f64);
        let mut simulation =
            Simulation::new(move |at, number| if is_disturbed(at, number) { disturbance } else { crowded });
        simulation.run_until(20_000.0);
        let told_at = simulation.received_at[0];
        assert!(told_at <= TOLD_AFTER_MOVE_MS + DRAIN_GRACE_MS, "a wait of {wait} ms: {told_at} ms");
    }
}

/// Two disruptions at once: the open response falls silent, and the change log is crowded.
#[test]
fn news_after_a_silence_is_read_in_time_from_a_crowded_change_log() {
    const SILENT_FROM: f64 = 10_500.0;
    for wait in (0..=ANSWER_TIMEOUT_MS as usize).step_by(100) {
        let mut simulation = Simulation::new(move |_, _| Response::After(wait as f64));
        simulation.run_until(SILENT_FROM);
        // The old response never goes on.
        simulation.open.iter_mut().for_each(|request| request.next_data_at = f64::INFINITY);
        simulation.run_until(30_000.0);
        let told_at = *simulation.received_at.iter().find(|at| **at >= SILENT_FROM).expect("told again");
        let limit = SILENT_FROM + TOLD_AFTER_MOVE_MS + DRAIN_GRACE_MS;
        assert!(told_at <= limit, "a wait of {wait} ms: {:.0} ms", told_at - SILENT_FROM);
    }
}

/// A change log that answers nobody for long is not flooded, and found again soon after.
#[test]
fn a_silent_change_log_gets_few_requests_and_is_found_again() {
    const BACK_AT: f64 = 60_000.0;
    let mut simulation =
        Simulation::new(|at, _| if at < BACK_AT { Response::Nothing } else { Response::After(0.0) });
    simulation.run_until(90_000.0);
    assert!(simulation.received_at[0] <= BACK_AT + ANSWER_TIMEOUT_MS, "{:?}", simulation.received_at[0]);
    assert!(simulation.started <= (BACK_AT / ANSWER_TIMEOUT_MS) as usize + 1, "{}", simulation.started);
    assert_eq!(simulation.open.len(), 1);
}

/// The open response pauses for less than a request is kept: it goes on, and the one made meanwhile is dropped.
#[test]
fn a_response_that_pauses_is_followed_again() {
    let mut simulation =
        Simulation::new(
            |_, number| {
                if number == 0 { Response::After(0.0) } else { Response::After(60_000.0) }
            },
        );
    simulation.silence = (10_000.0, 14_000.0);
    simulation.run_until(20_000.0);
    assert_eq!(simulation.open.len(), 1);
    let latest = simulation.received_at.last().expect("data");
    assert!(*latest >= 20_000.0 - COMMENT_INTERVAL_MS - TICK_MS, "{latest}");
}
