//! Tests of the conversion of orders.

use std::time::Duration;

use cowslipwing_dispatch::{Resources, TaskOrder, TaskRun};

use super::{order_to_proto, orders_from_proto, share_payloads};

fn order(task: &str, payload: &str) -> TaskOrder {
    TaskOrder {
        run: TaskRun { task: task.parse().unwrap(), number: 1 },
        payload: payload.into(),
        resources: Resources { cpu_millis: 100, memory_mb: 64, gpus: 0 },
        expected_work: Duration::from_millis(60),
        start_within: Duration::from_millis(90),
        abandon_after: Duration::from_millis(900),
        end_within: Duration::from_millis(1400),
        max_per_endpoint: 0,
        priority: 2,
    }
}

/// Each task must get its own job's payload, wherever it stands in the frame.
#[test]
fn orders_keep_their_payloads_when_they_are_shared() {
    let orders: Vec<TaskOrder> = [("a.0.0", "x"), ("a.0.1", "x"), ("b.0.0", "y"), ("a.0.2", "x")]
        .map(|(task, payload)| order(task, payload))
        .into();
    let mut wire: Vec<_> = orders.iter().map(order_to_proto).collect();
    share_payloads(&mut wire);
    assert_eq!(wire.iter().filter(|order| order.same_work).count(), 1);
    let decoded: Option<Vec<TaskOrder>> = orders_from_proto(wire).into_iter().collect();
    assert_eq!(decoded, Some(orders));
}

/// An agent of the previous version gets frames without shared payloads, and sends none.
#[test]
fn orders_without_shared_payloads_are_understood() {
    let orders = [order("a.0.0", "x"), order("a.0.1", "x")];
    let wire = orders.iter().map(order_to_proto).collect();
    let decoded: Option<Vec<TaskOrder>> = orders_from_proto(wire).into_iter().collect();
    assert_eq!(decoded.as_deref(), Some(&orders[..]));
}
