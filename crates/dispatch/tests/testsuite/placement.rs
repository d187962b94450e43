//! Tests of placement for a mix of short and long tasks on endpoints of unequal speed.

use std::time::Duration;

use cowslipwing_dispatch::{
    Candidate, FreeResources, PlacementRequest, Predictor, QueuedCpu, SlownessEstimator,
    WorkEstimate,
};

use crate::support::{TERMS, agent, job, ms, orders, resources, scheduler_with, status};

#[test]
fn late_probability_depends_on_slowness_relative_to_the_stretch() {
    struct Case {
        name: &'static str,
        slowness: f64,
        work: Duration,
        late_probability: std::ops::Range<f64>,
    }
    let cases = [
        Case { name: "fast, short", slowness: 0.7, work: ms(60), late_probability: 0.0..0.05 },
        Case { name: "fast, long", slowness: 0.7, work: ms(900), late_probability: 0.0..0.05 },
        Case { name: "slow, short", slowness: 1.7, work: ms(60), late_probability: 0.0..0.1 },
        Case { name: "slow, long", slowness: 1.9, work: ms(900), late_probability: 0.8..1.0 },
        Case { name: "very slow, short", slowness: 6.0, work: ms(60), late_probability: 0.9..1.0 },
    ];
    for case in cases {
        let status = status(32_000, case.slowness);
        let candidate = Candidate { status: &status, free: status.free, distance_ratio: 1.0 };
        let forecast = candidate.forecast(&request(case.work));
        assert!(
            case.late_probability.contains(&forecast.late_probability),
            "{}: {forecast:?}",
            case.name
        );
    }
}

fn request(work: Duration) -> PlacementRequest {
    PlacementRequest {
        resources: resources(3000),
        work: WorkEstimate::of_one_size(work, 0.35),
        other_steps: Duration::ZERO,
        terms: TERMS,
        elapsed: ms(8),
        caller_time_left: ms(1492),
    }
}

#[test]
fn queued_tasks_delay_only_less_urgent_ones() {
    let mut queued = QueuedCpu::default();
    queued.add(Some(ms(800)), 30_000);
    let mut status = status(32_000, 0.7);
    status.free = FreeResources { cpu_millis: 4000, ..status.free };
    status.queued = queued;
    let candidate = Candidate { status: &status, free: status.free, distance_ratio: 1.0 };
    assert_eq!(candidate.forecast(&request(ms(60))).wait, Duration::ZERO);
    assert!(candidate.forecast(&request(ms(900))).wait > Duration::ZERO);
}

#[test]
fn short_tasks_go_to_a_slow_endpoint_if_the_fast_one_is_full() {
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
fn a_job_of_many_tasks_is_spread_over_the_endpoints() {
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
fn an_endpoint_with_a_high_failure_rate_is_avoided() {
    let now = ms(1000);
    let mut unreliable = status(32_000, 0.7);
    unreliable.failure_rate = 0.9;
    let mut scheduler =
        scheduler_with(now, &[unreliable, status(32_000, 1.4), status(32_000, 1.4)]);
    scheduler.submit(now, job("a1", 4, 3000, ms(60)));
    let sent = orders(&scheduler.take_actions());
    assert!(sent.iter().all(|(agent, _)| agent.as_str() != "side-0@1"), "{sent:?}");
}

/// Declared run times are off by a factor that differs by job, and that grows with the distance
/// from the usual declared run time of the queue.
#[test]
fn predicted_work_regresses_towards_the_mean_of_the_queue() {
    let mut predictor = Predictor::default();
    for round in 0..2000u32 {
        // The work is 50 to 79 ms. Half of the jobs declare half of it, the others twice as much.
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
fn a_disturbance_is_detected_and_expires() {
    let work = ms(100);
    let mut slowness = SlownessEstimator::default();
    for round in 0..100 {
        slowness.observe(ms(round * 20), work, ms(70));
    }
    let baseline = slowness.baseline();
    assert_eq!(slowness.current(ms(2000), vec![0.6, 0.8, 0.7]), baseline);
    for round in 0..4 {
        slowness.observe(ms(2000 + round * 10), work, ms(450));
    }
    assert!(slowness.current(ms(2100), Vec::new()) > 4.0);
    assert!(slowness.baseline() < 1.1 * baseline);
    assert_eq!(slowness.current(ms(6000), Vec::new()), slowness.baseline());
}

const NOW: Duration = Duration::from_secs(10);

/// Payloads sent to another data centre cost, so equal endpoints there are not used; a less loaded one
/// is.
#[test]
fn the_own_data_centre_is_preferred_among_equal_endpoints() {
    struct Case {
        name: &'static str,
        free_here: i32,
        site: &'static str,
        expected: usize,
    }
    let cases = [
        Case { name: "equal", free_here: 32_000, site: "here", expected: 1 },
        Case { name: "much more loaded", free_here: 8_000, site: "here", expected: 0 },
        Case { name: "own data centre unknown", free_here: 32_000, site: "", expected: 0 },
    ];
    for case in cases {
        let mut there = status(32_000, 1.0);
        there.site = "there".into();
        let mut here = status(32_000, 1.0);
        here.free.cpu_millis = case.free_here;
        let mut scheduler = scheduler_with(NOW, &[there, here]);
        scheduler.set_site(case.site);
        scheduler.submit(NOW, job("a1", 1, 3000, ms(60)));
        let orders = orders(&scheduler.take_actions());
        assert_eq!(orders[0].0, agent(case.expected), "{}", case.name);
    }
}
