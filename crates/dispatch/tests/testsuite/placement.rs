//! Load pattern: short and long tasks mix on endpoints of unequal speed.

use std::time::Duration;

use cowslipwing_dispatch::{
    Candidate, FreeResources, PlacementRequest, Predictor, QueuedCpu, SlownessEstimator,
    WorkEstimate,
};

use crate::support::{TERMS, job, ms, orders, room, scheduler_with, status};

#[test]
fn lateness_depends_on_speed_against_the_stretch() {
    struct Case {
        name: &'static str,
        slowness: f64,
        work: Duration,
        late: std::ops::Range<f64>,
    }
    let cases = [
        Case { name: "fast, short", slowness: 0.7, work: ms(60), late: 0.0..0.05 },
        Case { name: "fast, long", slowness: 0.7, work: ms(900), late: 0.0..0.05 },
        Case { name: "slow, short", slowness: 1.7, work: ms(60), late: 0.0..0.1 },
        Case { name: "slow, long", slowness: 1.9, work: ms(900), late: 0.8..1.0 },
        Case { name: "crawling", slowness: 6.0, work: ms(60), late: 0.9..1.0 },
    ];
    for case in cases {
        let status = status(32_000, case.slowness);
        let candidate = Candidate { status: &status, free: status.free, data_is_remote: false };
        let forecast = candidate.forecast(&demand(case.work));
        assert!(case.late.contains(&forecast.late_probability), "{}: {forecast:?}", case.name);
    }
}

fn demand(work: Duration) -> PlacementRequest {
    PlacementRequest {
        resources: room(3000),
        work: WorkEstimate { median: work, log_std_dev: 0.35 },
        other_steps: Duration::ZERO,
        terms: TERMS,
        elapsed: ms(8),
        caller_time_left: ms(1492),
    }
}

#[test]
fn queued_work_delays_only_what_is_less_urgent() {
    let mut queued = QueuedCpu::default();
    queued.add(Some(ms(800)), 30_000);
    let mut status = status(32_000, 0.7);
    status.free = FreeResources { cpu_millis: 4000, ..status.free };
    status.queued = queued;
    let candidate = Candidate { status: &status, free: status.free, data_is_remote: false };
    assert_eq!(candidate.forecast(&demand(ms(60))).wait, Duration::ZERO);
    assert!(candidate.forecast(&demand(ms(900))).wait > Duration::ZERO);
}

#[test]
fn a_full_fast_endpoint_leaves_short_tasks_to_a_slow_one() {
    let now = ms(1000);
    let mut fast = status(32_000, 0.7);
    fast.free.cpu_millis = 1000;
    let mut scheduler = scheduler_with(now, &[fast, status(48_000, 1.7)]);
    scheduler.submit(now, job("a1", 2, 3000, ms(60)));
    let sent = orders(&scheduler.take_actions());
    assert_eq!(sent.len(), 2);
    assert!(sent.iter().all(|(agent, _)| agent.as_str() == "side-1@1"), "{sent:?}");
}

#[test]
fn a_wide_job_is_spread() {
    let now = ms(1000);
    let endpoints: Vec<_> = (0..4).map(|_| status(32_000, 0.7)).collect();
    let mut scheduler = scheduler_with(now, &endpoints);
    scheduler.submit(now, job("a1", 8, 3000, ms(60)));
    let sent = orders(&scheduler.take_actions());
    let mut per_agent = [0; 4];
    for (agent, _) in &sent {
        let number: usize = agent.vm_name()["side-".len()..].parse().unwrap();
        per_agent[number] += 1;
    }
    assert_eq!(per_agent, [2, 2, 2, 2]);
}

#[test]
fn an_endpoint_that_fails_what_others_run_is_avoided() {
    let now = ms(1000);
    let mut sick = status(32_000, 0.7);
    sick.failure_rate = 0.9;
    let mut scheduler = scheduler_with(now, &[sick, status(32_000, 1.4), status(32_000, 1.4)]);
    scheduler.submit(now, job("a1", 4, 3000, ms(60)));
    let sent = orders(&scheduler.take_actions());
    assert!(sent.iter().all(|(agent, _)| agent.as_str() != "side-0@1"), "{sent:?}");
}

/// Declared times are off by a factor that differs by job, and that is larger the further they are
/// from what is usual in the queue.
#[test]
fn work_is_drawn_towards_the_mean_of_the_queue() {
    let mut predictor = Predictor::default();
    for round in 0..2000u32 {
        // Work of 50 to 80 ms; half of the jobs declare half of it, the others twice.
        let work = 50 + round % 30;
        let declared = if round % 2 == 0 { work / 2 } else { work * 2 };
        predictor.observe("q", ms(declared.into()), ms(work.into()));
    }
    for declared in [30, 130] {
        let work = predictor.predict_work("q", ms(declared)).median;
        assert!(work > ms(50) && work < ms(80), "{declared} ms declared, {work:?} predicted");
    }
}

#[test]
fn a_disturbance_shows_and_passes() {
    let work = ms(100);
    let mut speed = SlownessEstimator::default();
    for round in 0..100 {
        speed.observe(ms(round * 20), work, ms(70));
    }
    let usual = speed.baseline();
    assert_eq!(speed.current(ms(2000), vec![0.6, 0.8, 0.7]), usual);
    for round in 0..4 {
        speed.observe(ms(2000 + round * 10), work, ms(450));
    }
    assert!(speed.current(ms(2100), Vec::new()) > 4.0);
    assert!(speed.baseline() < 1.1 * usual);
    assert_eq!(speed.current(ms(6000), Vec::new()), speed.baseline());
}
