//! The state of handovers, at the owner and at the successor.

use std::time::{Duration, Instant};

use cowslipwing_claims::{RangeHandover, ReceivedTransfers};
use cowslipwing_types::{EntryId, Epoch, RangeId};

const APPEND_TIMEOUT: Duration = Duration::from_secs(6);
const MAX_LOG_AGE: Duration = Duration::from_secs(2);
const RANGE: RangeId = RangeId::new(7);
const EPOCH: Epoch = Epoch::new(3);

fn sender() -> EntryId {
    "entry-1@aa".parse().expect("a valid entry id")
}

fn received(transfers: &mut ReceivedTransfers<&'static str>, now: Instant, stopping: bool) -> bool {
    transfers.store(now, &sender(), 1, stopping, [(RANGE, EPOCH, "state")])
}

/// A stopping entry that accepted a transfer left the member set before it owned the range, so that
/// its successor had to survey agents whose earlier incarnations were gone.
#[test]
fn a_stopping_entry_accepts_no_transfer() {
    let mut transfers = ReceivedTransfers::default();
    assert!(!received(&mut transfers, Instant::now(), true));
    assert_eq!(transfers.take(RANGE, EPOCH), None);
}

/// An entry that begins to stop between the transfer and its record must wait for the record, and
/// hand the range on.
#[test]
fn an_accepted_transfer_is_awaited_until_its_record_can_no_longer_come() {
    struct Case {
        name: &'static str,
        after: Duration,
        taken: bool,
        revoked: bool,
        expects: bool,
    }
    let just_before = APPEND_TIMEOUT - Duration::from_millis(1);
    let cases = [
        Case { name: "open", after: just_before, taken: false, revoked: false, expects: true },
        Case { name: "late", after: APPEND_TIMEOUT, taken: false, revoked: false, expects: false },
        Case { name: "taken", after: Duration::ZERO, taken: true, revoked: false, expects: false },
        Case { name: "back", after: Duration::ZERO, taken: false, revoked: true, expects: false },
    ];
    for case in cases {
        let now = Instant::now();
        let mut transfers = ReceivedTransfers::default();
        assert!(received(&mut transfers, now, false));
        if case.taken {
            assert_eq!(transfers.take(RANGE, EPOCH), Some("state"));
        }
        if case.revoked {
            transfers.revoke(&sender(), 1, [RANGE]);
        }
        let expects = transfers.expects_records(now + case.after, APPEND_TIMEOUT);
        assert_eq!(expects, case.expects, "{}", case.name);
    }
}

#[test]
fn a_transfer_that_arrives_after_its_revocation_is_refused() {
    let mut transfers = ReceivedTransfers::default();
    transfers.revoke(&sender(), 1, [RANGE]);
    assert!(!received(&mut transfers, Instant::now(), false));
}

#[test]
fn a_transfer_for_another_epoch_is_not_used() {
    let mut transfers = ReceivedTransfers::default();
    assert!(received(&mut transfers, Instant::now(), false));
    assert_eq!(transfers.take(RANGE, EPOCH.next()), None);
}

/// A rebalance that began as the store went down left the ranges with open jobs closed to new ones
/// until the store was back.
#[test]
fn ranges_that_drain_reopen_while_the_log_is_stale() {
    struct Case {
        name: &'static str,
        built: bool,
        log_age: Option<Duration>,
        accepts: bool,
    }
    let cases = [
        Case { name: "current", built: false, log_age: Some(Duration::ZERO), accepts: false },
        Case { name: "stale", built: false, log_age: Some(MAX_LOG_AGE), accepts: true },
        Case { name: "never read", built: false, log_age: None, accepts: true },
        Case { name: "built", built: true, log_age: Some(MAX_LOG_AGE), accepts: false },
    ];
    for case in cases {
        let mut handover = RangeHandover::default();
        handover.begin();
        if case.built {
            handover.on_transfer_built();
        }
        handover.cancel_if_log_stale(case.log_age, MAX_LOG_AGE);
        assert_eq!(handover.accepts_jobs(), case.accepts, "{}", case.name);
    }
}
