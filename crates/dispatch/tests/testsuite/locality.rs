//! Tasks that wait for the rack of their data, on a hot rack, a full fleet and an idle one.

mod replay;

use std::time::Duration;

use cowslipwing_dispatch::{
    Action, Answer, CrashRole, Decision, EndpointStatus, FreeResources, JobSpec, PlacementRequest,
    RackChoice, RackSurvey, RunStatus, Scheduler, TaskEvent, WorkEstimate,
};

use crate::support::{
    SETTINGS, TERMS, WARM_UP, agent, answers, job, ms, orders, resources, status,
};
use replay::{Arrivals, Outcome, Policy, replay};

const START: Duration = Duration::from_secs(10);
const NO_WAIT: Policy = Policy::FixedWait(Duration::ZERO);

/// Returns the status of an endpoint with 16 cores, of which `free` are free.
fn endpoint(rack: &str, free: u32) -> EndpointStatus {
    let mut status = status(16_000, 1.0);
    status.rack = rack.into();
    status.free.cpu_millis = i32::try_from(1000 * free).unwrap();
    status
}

fn scheduler(remote_run_time_ratio: f64, endpoints: &[EndpointStatus]) -> Scheduler {
    let mut settings = SETTINGS;
    settings.remote_run_time_ratio = remote_run_time_ratio;
    let mut scheduler = Scheduler::new(settings);
    scheduler.on_tick(START - WARM_UP);
    for (number, status) in endpoints.iter().enumerate() {
        scheduler.on_attached(START - WARM_UP, &agent(number), &[]);
        scheduler.on_status(START, &agent(number), status.clone());
    }
    scheduler
}

/// Returns a job of one task of 300 ms, whose data is on rack `near`.
fn near_job() -> JobSpec {
    let mut spec = job("a1", 1, 1000, ms(300));
    spec.steps[0].data_rack = Some("near".into());
    spec
}

/// Returns a scheduler with a job that waits for the endpoint 0. Endpoint 1 on another rack is idle,
/// but misses the objective.
fn waiting() -> Scheduler {
    let mut scheduler = scheduler(2.0, &[endpoint("near", 0), endpoint("far", 16)]);
    scheduler.submit(START, near_job());
    let actions = scheduler.take_actions();
    assert!(has_decision(&actions, |decision| matches!(decision, Decision::NearWaitBegun { .. })));
    assert!(orders(&actions).is_empty() && answers(&actions).is_empty());
    scheduler
}

fn has_decision<F>(actions: &[Action], predicate: F) -> bool
where
    F: Fn(&Decision) -> bool,
{
    actions.iter().any(|action| matches!(action, Action::Record(decision) if predicate(decision)))
}

fn is_paid_off(decision: &Decision) -> bool {
    matches!(decision, Decision::NearWaitPaidOff { .. })
}

fn is_lost(decision: &Decision) -> bool {
    matches!(decision, Decision::NearWaitLost { .. })
}

/// A place that is free must not stay unused until the bound of the wait.
#[test]
fn a_wait_ends_with_the_first_free_place() {
    let mut scheduler = waiting();
    scheduler.on_status(START + ms(20), &agent(0), endpoint("near", 1));
    let actions = scheduler.take_actions();
    assert_eq!(orders(&actions)[0].0, agent(0));
    assert!(has_decision(&actions, is_paid_off));
}

/// A task must not wait for an endpoint that will not take it.
#[test]
fn a_wait_ends_when_the_near_rack_is_lost() {
    struct Case {
        name: &'static str,
        lose: fn(&mut Scheduler),
    }
    let cases = [
        Case {
            name: "draining, crashed or evacuated",
            lose: |scheduler| {
                let status = EndpointStatus { usable: false, ..endpoint("near", 0) };
                scheduler.on_status(START + ms(20), &agent(0), status);
            },
        },
        Case {
            name: "detached",
            lose: |scheduler| scheduler.on_detached(START + ms(20), &agent(0)),
        },
        Case {
            name: "replaced",
            lose: |scheduler| scheduler.on_replaced(START + ms(20), &agent(0)),
        },
    ];
    for Case { name, lose } in cases {
        let mut scheduler = waiting();
        lose(&mut scheduler);
        scheduler.on_tick(START + ms(30));
        let actions = scheduler.take_actions();
        assert_eq!(orders(&actions)[0].0, agent(1), "{name}");
        assert!(has_decision(&actions, is_lost), "{name}");
        let is_far = |decision: &Decision| matches!(decision, Decision::FarFromData { .. });
        assert!(has_decision(&actions, is_far), "{name}");
    }
}

/// A contained queue must not wait for an endpoint outside its area. The hash that ranks the endpoints
/// puts endpoint 0 outside.
#[test]
fn a_wait_ends_when_the_queue_is_contained_elsewhere() {
    let far: Vec<EndpointStatus> = (1..8).map(|_| endpoint("far", 16)).collect();
    let mut scheduler = scheduler(2.0, &[vec![endpoint("near", 0)], far].concat());
    scheduler.submit(START, near_job());
    assert!(orders(&scheduler.take_actions()).is_empty());
    let unusable = EndpointStatus { usable: false, ..endpoint("far", 16) };
    scheduler.on_status(START, &agent(7), unusable);
    scheduler.submit(START, job("deadly", 1, 1000, ms(300)));
    for _ in 0..2 {
        let (to, order) = orders(&scheduler.take_actions()).pop().unwrap();
        let status = RunStatus::Crashed(CrashRole::Suspect);
        scheduler.on_task_event(START, &to, &TaskEvent { run: order.run, status });
    }
    let is_contained = |decision: &Decision| matches!(decision, Decision::QueueContained { .. });
    assert!(has_decision(&scheduler.take_actions(), is_contained));
    scheduler.on_tick(START + ms(30));
    let actions = scheduler.take_actions();
    assert_ne!(orders(&actions)[0].0, agent(0));
    assert!(has_decision(&actions, is_lost));
}

/// A wait that outlasts the latest start far away would lose an objective that no wait keeps.
#[test]
fn a_wait_leaves_time_for_a_run_far_away() {
    let far: Vec<EndpointStatus> = (0..8).map(|_| endpoint("far", 1)).collect();
    let endpoints = [vec![endpoint("near", 0)], far].concat();
    let mut scheduler = scheduler(1.3, &endpoints);
    scheduler.submit(START, near_job());
    assert!(orders(&scheduler.take_actions()).is_empty());
    let mut sent_after = None;
    for after in (5..1500).step_by(5).map(ms) {
        for (number, status) in endpoints.iter().enumerate() {
            scheduler.on_status(START + after, &agent(number), status.clone());
        }
        scheduler.on_tick(START + after);
        if let Some((to, _)) = orders(&scheduler.take_actions()).first() {
            assert_ne!(*to, agent(0));
            sent_after = Some(after);
            break;
        }
    }
    let objective = ms(300).mul_f64(TERMS.stretch) + TERMS.target_latency;
    assert!(sent_after.unwrap() + ms(300).mul_f64(1.3) <= objective, "{sent_after:?}");
}

/// A job that could have been served at its submission must not be refused for its wait, and once
/// its time is over, the answer must say that nothing has run.
#[test]
fn a_job_that_has_waited_is_refused_only_if_nothing_ran_in_time() {
    let mut scheduler = waiting();
    let busy = EndpointStatus { mean_remaining: ms(20_000), ..endpoint("far", 0) };
    scheduler.on_status(START + ms(20), &agent(1), busy.clone());
    scheduler.on_detached(START + ms(20), &agent(0));
    scheduler.on_tick(START + ms(30));
    let actions = scheduler.take_actions();
    assert!(answers(&actions).is_empty());
    let run = orders(&actions)[0].1.run.clone();
    scheduler.on_status(START + ms(900), &agent(1), busy);
    let event = TaskEvent { run, status: RunStatus::NotStarted };
    scheduler.on_task_event(START + ms(900), &agent(1), &event);
    let answers = answers(&scheduler.take_actions());
    assert!(matches!(answers[..], [(_, Answer::Refused { .. })]), "{answers:?}");
}

/// A job that is cancelled must leave no wait behind that counts for others.
#[test]
fn a_cancelled_job_waits_no_longer() {
    let mut scheduler = waiting();
    assert!(scheduler.cancel(&near_job().id));
    assert!(has_decision(&scheduler.take_actions(), is_lost));
    scheduler.on_status(START + ms(20), &agent(0), endpoint("near", 1));
    assert!(orders(&scheduler.take_actions()).is_empty());
}

/// A fleet of which only a part is compared for each task must not hide the near rack.
#[test]
fn a_near_place_is_found_among_many_endpoints() {
    let far: Vec<EndpointStatus> = (0..299).map(|_| endpoint("far", 16)).collect();
    let mut scheduler = scheduler(3.0, &[vec![endpoint("near", 16)], far].concat());
    let mut spec = near_job();
    spec.steps[0].count = 8;
    scheduler.submit(START, spec);
    let orders = orders(&scheduler.take_actions());
    assert_eq!(orders.iter().filter(|(to, _)| *to == agent(0)).count(), 8);
}

/// Tasks that name no rack must be placed as if there were no racks.
#[test]
fn without_a_rack_nothing_depends_on_the_ratio() {
    let endpoints = [endpoint("near", 0), endpoint("far", 3), endpoint("far", 9)];
    let place = |ratio| {
        let mut scheduler = scheduler(ratio, &endpoints);
        scheduler.submit(START, job("a1", 12, 1000, ms(300)));
        scheduler.take_actions()
    };
    assert_eq!(orders(&place(1.5)).len(), 12);
    assert_eq!(format!("{:?}", place(1.5)), format!("{:?}", place(3.0)));
}

/// If all tasks of a hot rack waited, most of them would wait in vain.
#[test]
fn a_task_behind_many_others_goes_far_at_once() {
    let request = PlacementRequest {
        resources: resources(1000),
        work: WorkEstimate::of_one_size(ms(100), 0.1),
        other_steps: Duration::ZERO,
        terms: TERMS,
        elapsed: Duration::ZERO,
        caller_time_left: ms(1500),
    };
    let mut survey = RackSurvey::default();
    let near = endpoint("near", 0);
    survey.add(true, &near, near.free, &request);
    let far = endpoint("far", 16);
    survey.add(false, &far, FreeResources::from_capacity(far.capacity), &request);
    let choose = |ahead_millis| survey.choose(3.0, ahead_millis, &request).choice;
    assert!(matches!(choose(0.0), RackChoice::Wait { .. }));
    assert_eq!(choose(32_000.0), RackChoice::Far);
}

/// A hot rack, and a full fleet.
const LOADS: [(f64, f64); 2] = [(160.0, 0.6), (290.0, 0.0)];

/// Returns the shares of tasks and of work in time over several seeds, for each of [`LOADS`].
fn shares(policy: Policy, entries: usize) -> [(f64, f64); 2] {
    LOADS.map(|(per_second, hot_share)| {
        let run = |seed| replay(policy, Arrivals { per_second, hot_share, seed, entries });
        let outcomes: Vec<Outcome> = (1..=3).map(run).collect();
        let mean = |share: fn(&Outcome) -> f64| outcomes.iter().map(share).sum::<f64>() / 3.0;
        let shares = (mean(Outcome::share_in_time), mean(Outcome::share_of_work_in_time));
        println!("{entries} entries, {per_second}/s, hot {hot_share}, {policy:?}: {shares:.3?}");
        shares
    })
}

/// On a hot rack, tasks that all wait come too late; on a full fleet, tasks that do not wait take
/// twice the capacity. No fixed wait suits both.
#[test]
fn decided_waits_serve_more_in_time_than_no_wait_and_fixed_waits() {
    let no_wait = shares(NO_WAIT, 1);
    let fixed = [50, 150].map(|wait| shares(Policy::FixedWait(ms(wait)), 1));
    let [hot, full] = shares(Policy::Scheduler, 1);
    for other in [no_wait, fixed[0], fixed[1]] {
        assert!(hot.0 > other[0].0 && hot.1 > other[0].1, "{hot:?} {other:?}");
        assert!(hot.0 + full.0 > other[0].0 + other[1].0, "{hot:?} {full:?} {other:?}");
        assert!(hot.1 + full.1 > other[0].1 + other[1].1, "{hot:?} {full:?} {other:?}");
    }
    assert!(full.0 > no_wait[1].0 && full.1 > no_wait[1].1);
    // Entries do not know of each other's waiting tasks and may expect the same place.
    let [hot, full] = shares(Policy::Scheduler, 4);
    for other in [no_wait, fixed[0], fixed[1]] {
        assert!(hot.0 + full.0 > other[0].0 + other[1].0, "{hot:?} {full:?} {other:?}");
    }
}

/// On an idle fleet each task finds a place near its data, and none may wait.
#[test]
fn nothing_waits_on_an_idle_fleet() {
    let outcome = replay(
        Policy::Scheduler,
        Arrivals { per_second: 40.0, hot_share: 0.0, seed: 1, entries: 1 },
    );
    assert_eq!((outcome.waits, outcome.waits_lost), (0, 0));
    assert_eq!((outcome.in_time, outcome.near), (outcome.tasks, outcome.tasks));
}
