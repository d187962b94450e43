//! What an entry does with the endpoints of evacuated data centres.

use std::time::Duration;

use cowslipwing_dispatch::{
    AgentId, Answer, CrashRole, EndpointStatus, RefusalReason, RunStatus, Scheduler, TaskEvent,
};

use super::site;
use crate::support::{agent, answers, job, ms, orders, scheduler_with, status};

const NOW: Duration = Duration::from_secs(100);

fn status_at(site: &str) -> EndpointStatus {
    EndpointStatus { site: site.into(), ..status(32_000, 1.0) }
}

/// Returns the agents of `count` endpoints in the order in which they are compared, each with its data
/// centre, which is `a` and `b` in turn.
fn alternating_agents(count: usize) -> Vec<(AgentId, &'static str)> {
    let mut agents: Vec<AgentId> = (0..count).map(agent).collect();
    agents.sort();
    agents.into_iter().zip(["a", "b"].into_iter().cycle()).collect()
}

/// Returns a scheduler with these endpoints.
fn alternating(count: usize) -> Scheduler {
    let agents = alternating_agents(count);
    let site_of = |number| agents.iter().find(|(id, _)| *id == agent(number)).unwrap().1;
    let endpoints: Vec<_> = (0..count).map(|number| status_at(site_of(number))).collect();
    scheduler_with(NOW, &endpoints)
}

/// Guards against tasks at evacuated endpoints, and against refusals of what others could serve. With
/// many endpoints only a part of them is compared, which must not be the evacuated part.
#[test]
fn tasks_go_to_the_other_data_centres() {
    for count in [2, 40, 190] {
        let mut scheduler = alternating(count);
        scheduler.set_evacuated_sites(NOW, vec![site("a")]);
        for number in 0..20 {
            scheduler.submit(NOW, job(&format!("j{number}"), 1, 1000, ms(50)));
        }
        let actions = scheduler.take_actions();
        let sent = orders(&actions);
        assert_eq!(sent.len(), 20, "{count}: {:?}", answers(&actions));
        let agents = alternating_agents(count);
        let is_evacuated = |to: &AgentId| agents.contains(&(to.clone(), "a"));
        assert!(!sent.iter().any(|(to, _)| is_evacuated(to)), "{count}");
    }
}

/// Guards against jobs that wait for an endpoint that takes no tasks, and against an evacuation that
/// outlasts its withdrawal.
#[test]
fn jobs_that_fit_only_there_are_refused_at_once() {
    struct Case {
        name: &'static str,
        evacuated: &'static [&'static str],
        cpu_millis: u32,
        served: bool,
    }
    let cases = [
        Case { name: "none evacuated", evacuated: &[], cpu_millis: 20_000, served: true },
        Case { name: "the other one", evacuated: &["b"], cpu_millis: 20_000, served: true },
        Case { name: "the large one", evacuated: &["a"], cpu_millis: 20_000, served: false },
        Case { name: "a small job", evacuated: &["a"], cpu_millis: 2000, served: true },
        Case { name: "all", evacuated: &["a", "b"], cpu_millis: 2000, served: false },
    ];
    for case in cases {
        let small = EndpointStatus { site: "b".into(), ..status(8000, 1.0) };
        let mut scheduler = scheduler_with(NOW, &[status_at("a"), small]);
        scheduler.set_evacuated_sites(NOW, case.evacuated.iter().map(|name| site(name)).collect());
        scheduler.submit(NOW, job("a1", 1, case.cpu_millis, ms(50)));
        let actions = scheduler.take_actions();
        let answer = answers(&actions).pop().map(|(_, answer)| answer);
        let refused =
            matches!(answer, Some(Answer::Refused { reason: RefusalReason::NoEndpoint, .. }));
        assert_eq!(
            (orders(&actions).len(), refused),
            if case.served { (1, false) } else { (0, true) },
            "{}",
            case.name
        );
        scheduler.set_evacuated_sites(NOW, Vec::new());
        scheduler.submit(NOW, job("a2", 1, case.cpu_millis, ms(50)));
        assert_eq!(orders(&scheduler.take_actions()).len(), 1, "{}", case.name);
    }
}

/// Guards against returned tasks that are sent to the evacuated data centre again, or wait there.
#[test]
fn a_returned_task_is_placed_elsewhere_or_its_job_ends() {
    for (endpoints, placed) in [(vec!["a", "a", "b"], true), (vec!["a", "a"], false)] {
        let statuses: Vec<_> = endpoints.iter().map(|site| status_at(site)).collect();
        let mut scheduler = scheduler_with(NOW, &statuses);
        let spec = job("a1", 2, 20_000, ms(50));
        scheduler.submit(NOW, spec);
        let sent = orders(&scheduler.take_actions());
        let returned = sent.iter().find(|(to, _)| *to != agent(2)).unwrap().clone();
        scheduler.set_evacuated_sites(NOW, vec![site("a")]);
        let returned_run = returned.1.run;
        let event = TaskEvent { run: returned_run.clone(), status: RunStatus::NotStarted };
        scheduler.on_task_event(NOW, &returned.0, &event);
        let actions = scheduler.take_actions();
        let to: Vec<_> = orders(&actions).into_iter().map(|(to, _)| to).collect();
        assert_eq!(to == [agent(2)], placed, "{endpoints:?}: {actions:?}");
        // The job's other task is withdrawn before the job is refused.
        let (other_agent, other) =
            sent.iter().find(|(_, order)| order.run != returned_run).unwrap();
        let event = TaskEvent { run: other.run.clone(), status: RunStatus::NotStarted };
        if !placed {
            scheduler.on_task_event(NOW, other_agent, &event);
        }
        let actions = scheduler.take_actions();
        assert_eq!(answers(&actions).is_empty(), placed, "{endpoints:?}: {actions:?}");
    }
}

/// Guards against the containment of a queue because an evacuation makes its endpoints unusable.
#[test]
fn evacuated_endpoints_do_not_count_as_crashed() {
    let mut scheduler = alternating(20);
    scheduler.set_evacuated_sites(NOW, vec![site("a")]);
    scheduler.submit(NOW, job("a1", 1, 1000, ms(50)));
    let status = RunStatus::Crashed(CrashRole::Suspect);
    for _ in 0..2 {
        let (to, order) = orders(&scheduler.take_actions()).pop().unwrap();
        scheduler.on_task_event(NOW, &to, &TaskEvent { run: order.run, status });
    }
    let actions = format!("{:?}", scheduler.take_actions());
    assert!(!actions.contains("QueueContained"), "{actions}");
}
