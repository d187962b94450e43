//! Decides when a call to an endpoint opens a connection, and when it waits for one in use.
//!
//! Load: starts come in sets, and an endpoint may answer late, lose answers, hang, or refuse
//! connections for seconds. Without a budget, each peak and each timeout opened a connection: up to
//! 25,489 in a day of 73 agents.

use std::time::Duration;

/// Maximum number of connections of one client, in use, idle or waiting for a late answer. With 3
/// copies of 54 starts per second, of which 5% are answered after 2 s, 16 wait at the same time.
const MAX_CONNECTIONS: usize = 64;
/// Age below which a call is expected to be answered shortly. A healthy endpoint answers a start
/// within a millisecond.
const PROMPT_CALL_AGE: Duration = Duration::from_millis(1);
/// Maximum time for which a call waits for a connection of a prompt call. A timer may add up to a
/// millisecond.
const SHARE_WAIT: Duration = Duration::from_micros(500);
/// Maximum number of calls that wait for each connection of a prompt call.
const MAX_WAITING_PER_CALL: usize = 2;
/// Maximum time for which a call waits for a connection. Shorter than the 10 ms after which the
/// executor sends a start again, so that a start that was not sent is known as not started.
const MAX_WAIT: Duration = Duration::from_millis(8);
/// Delay of a timer from which on the process is taken to have been paused. Timers have a resolution
/// of a millisecond.
const MIN_PAUSE: Duration = Duration::from_millis(2);
/// Number of connections that may be opened without a delay after an answer. A set of tasks opens
/// several before the first is answered.
const UNDELAYED_OPENS: u32 = 8;
/// First delay between connections to an endpoint that does not answer; it doubles with each one.
const INITIAL_OPEN_DELAY: Duration = Duration::from_millis(5);
/// Maximum delay between connections to an endpoint that does not answer, which bounds the time
/// until its return is noticed.
const MAX_OPEN_DELAY: Duration = Duration::from_millis(40);

/// The connections of one client at the time of a decision.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionLoad {
    /// Number of connections that wait for a late answer.
    pub parked: usize,
    /// Number of connections in use or idle.
    pub usable: usize,
    /// Number of calls in progress that are younger than [`ConnectionBudget::prompt_call_age`].
    pub prompt_calls: usize,
    /// Number of other calls that wait for a connection.
    pub waiting: usize,
}

/// What a call does that finds no idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionDecision {
    /// It opens a connection.
    Open,
    /// It closes the connection that has waited for a late answer the longest, and opens another.
    Replace,
    /// It waits for a connection in use, at most until this time, and decides again.
    Wait(Duration),
    /// It fails without having been sent.
    Fail,
}

/// Bounds the connections to one endpoint and the rate at which they are opened. Times count from
/// any fixed point.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_dispatch::{ConnectionBudget, ConnectionDecision, ConnectionLoad};
///
/// let budget = ConnectionBudget::default();
/// let now = Duration::from_secs(1);
/// let load = ConnectionLoad::default();
/// assert_eq!(budget.decide(now, now, load), ConnectionDecision::Open);
/// // A call that has just been sent is about to return its connection.
/// let load = ConnectionLoad { usable: 1, prompt_calls: 1, ..load };
/// assert!(matches!(budget.decide(now, now, load), ConnectionDecision::Wait(_)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConnectionBudget {
    /// Number of connections opened, or attempted, since the last answer.
    opens_since_answer: u32,
    last_open_at: Duration,
}

impl ConnectionBudget {
    /// Returns the age below which a call is expected to be answered shortly.
    pub fn prompt_call_age() -> Duration {
        PROMPT_CALL_AGE
    }

    /// Records an attempt to open a connection.
    pub fn record_open(&mut self, now: Duration) {
        self.opens_since_answer = self.opens_since_answer.saturating_add(1);
        self.last_open_at = now;
    }

    /// Records a complete answer, also one that arrived late.
    pub fn record_answer(&mut self) {
        self.opens_since_answer = 0;
    }

    /// Returns the start of a wait, moved by the time for which the process was paused. The wait
    /// started at `waiting_since`, was to end at `until` at the latest, and ended at `now`. Answers
    /// that arrived during a pause are read after it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cowslipwing_dispatch::ConnectionBudget;
    ///
    /// let ms = Duration::from_millis;
    /// assert_eq!(ConnectionBudget::skip_pause(ms(10), ms(18), ms(19)), ms(10));
    /// assert_eq!(ConnectionBudget::skip_pause(ms(10), ms(18), ms(218)), ms(210));
    /// ```
    pub fn skip_pause(waiting_since: Duration, until: Duration, now: Duration) -> Duration {
        let pause = now.saturating_sub(until);
        if pause < MIN_PAUSE { waiting_since } else { waiting_since + pause }
    }

    /// Decides for a call that has found no idle connection since `waiting_since`.
    pub fn decide(
        &self,
        now: Duration,
        waiting_since: Duration,
        load: ConnectionLoad,
    ) -> ConnectionDecision {
        let give_up_at = waiting_since + MAX_WAIT;
        if now >= give_up_at {
            return ConnectionDecision::Fail;
        }
        let open_at = self.last_open_at + self.open_delay();
        if now < open_at {
            return ConnectionDecision::Wait(open_at.min(give_up_at));
        }
        let share_until = waiting_since + SHARE_WAIT;
        if now < share_until && load.waiting < load.prompt_calls * MAX_WAITING_PER_CALL {
            return ConnectionDecision::Wait(share_until);
        }
        if load.usable + load.parked < MAX_CONNECTIONS {
            return ConnectionDecision::Open;
        }
        if load.parked > 0 {
            return ConnectionDecision::Replace;
        }
        ConnectionDecision::Wait(give_up_at)
    }

    /// Returns the minimum time between the last opened connection and the next.
    fn open_delay(&self) -> Duration {
        match self.opens_since_answer.checked_sub(UNDELAYED_OPENS) {
            None => Duration::ZERO,
            Some(excess) => (INITIAL_OPEN_DELAY * (1 << excess.min(10))).min(MAX_OPEN_DELAY),
        }
    }
}
