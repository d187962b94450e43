//! Keeps each contract's concurrency over all entries.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cowslipwing_fold::Terms;
use cowslipwing_policy::{Quota, quota_of_rank};
use cowslipwing_proto::{LoanReply, LoanRequest, Repayment};
use cowslipwing_types::{CustomerName, EntryId, MemberVersion, SortedMap, Version};
use tokio::time::timeout;

use super::shared::{Shared, lock};

/// Time between two looks at customers that are held back.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The same while no job is open.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time a loan may be used.
const LOAN_LENGTH: Duration = Duration::from_secs(2);
/// Time past a task's deadline in which its agent ends it.
const TASK_GRACE: Duration = Duration::from_secs(2);
/// Time in which a peer must answer.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Tasks asked for at once.
const MAX_LOAN_REQUEST: u32 = 64;

/// This entry's part of a contract, and what it was worked out from.
pub(crate) struct CustomerQuota {
    quota: Quota,
    deadline: Duration,
    share: u32,
    members: MemberVersion,
    version: Version,
    /// Lenders of the loans held, by the loan's number and end.
    lenders: SortedMap<(u64, Instant), EntryId>,
}

/// Borrows for customers that are held back, until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let is_idle = shared.open_jobs.load(Ordering::Relaxed) == 0;
        tokio::time::sleep(if is_idle { IDLE_INTERVAL } else { POLL_INTERVAL }).await;
        raise_quotas(&shared);
        repay_expired(&shared);
        for (customer, missing) in update_limits(&shared) {
            borrow(&shared, &customer, missing.min(MAX_LOAN_REQUEST)).await;
        }
    }
}

/// Follows the contracts and the member set in force.
///
/// A smaller part holds at once. A larger one waits until [`raise_quotas`] finds that no other entry, nor
/// one that is gone, can still use the difference.
pub(crate) fn update_quotas(shared: &Shared) {
    let has_read_log =
        shared.log_state.read().expect("no holder of the fold panics").tail_read_at.is_some();
    let base_quotas = base_quotas(shared);
    let mut quotas = lock(&shared.quotas);
    for BaseQuota { customer, version, terms, base, members } in base_quotas {
        let customer_quota = quotas.get_or_insert_with(customer, || CustomerQuota {
            quota: Quota::new(0),
            deadline: terms.deadline,
            share: terms.share,
            members: if has_read_log { members } else { MemberVersion::default() },
            version: Version::new(0),
            lenders: SortedMap::new(),
        });
        customer_quota.share = terms.share;
        customer_quota.deadline = customer_quota.deadline.max(terms.deadline);
        let only_terms_changed =
            customer_quota.members == members && customer_quota.version != version;
        if only_terms_changed {
            customer_quota.quota.set_base(base);
        } else {
            customer_quota.quota.lower_base(base);
        }
        customer_quota.version = version;
    }
    drop(quotas);
    update_limits(shared);
}

/// Raises the parts to what the member set in force allows, once no other entry runs more than its
/// own part and what entries that are gone have started must have ended.
fn raise_quotas(shared: &Shared) {
    let now = shared.now();
    let (version, is_settled) =
        shared.with_fold(|fold| (fold.membership().version(), fold.membership().is_settled()));
    let others = shared.other_members();
    let hold_until = {
        let peers = lock(&shared.peers);
        let is_within =
            |id: &EntryId| peers.get(id).is_some_and(|peer| peer.quota_version >= version);
        if !is_settled || !others.iter().all(|(id, _)| is_within(id)) {
            return;
        }
        let held_until = peers.values().filter_map(|peer| peer.hold_until).max();
        held_until.max(*lock(&shared.hold_until))
    };
    if hold_until.is_some_and(|until| now < until) {
        return;
    }
    let base_quotas = base_quotas(shared);
    let mut quotas = lock(&shared.quotas);
    for base_quota in base_quotas.into_iter().filter(|base_quota| base_quota.members == version) {
        if let Some(customer_quota) = quotas.get_mut(&base_quota.customer)
            && customer_quota.members != version
        {
            customer_quota.quota.set_base(base_quota.base);
            customer_quota.members = version;
        }
    }
}

/// Notes that an entry is gone whose tasks may still run.
pub(crate) fn extend_hold(shared: &Shared) {
    let deadline =
        lock(&shared.quotas).values().map(|customer_quota| customer_quota.deadline).max();
    let hold = shared.lease.length + deadline.unwrap_or_default() + TASK_GRACE;
    let until = shared.now() + hold;
    let mut held = lock(&shared.hold_until);
    *held = (*held).max(Some(until));
}

/// Returns the version of the member set within whose parts this entry stays, and how long tasks of
/// entries that are gone may still run.
pub(crate) fn quota_status(shared: &Shared) -> (MemberVersion, Duration) {
    let now = shared.now();
    let version = shared.with_fold(|fold| fold.membership().version());
    let dispatch = lock(&shared.dispatch);
    let quotas = lock(&shared.quotas);
    let queue = &dispatch.dispatcher.queue;
    let is_within = |(customer, customer_quota): (&CustomerName, &CustomerQuota)| {
        customer_quota.quota.is_within(now, queue.running(customer))
    };
    let all_within = quotas.iter().all(is_within);
    let hold = lock(&shared.hold_until)
        .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
    (if all_within { version } else { MemberVersion::default() }, hold)
}

/// This entry's part of a contract, as the member set in force divides it.
struct BaseQuota {
    customer: CustomerName,
    version: Version,
    terms: Terms,
    base: u32,
    members: MemberVersion,
}

fn base_quotas(shared: &Shared) -> Vec<BaseQuota> {
    shared.with_fold(|fold| {
        let members = fold.membership();
        let current = members.current();
        let rank = current.iter().position(|(id, _)| *id == shared.id);
        let entries = current.len() as u32;
        let base_quota =
            |(customer, found): (&CustomerName, &cowslipwing_fold::ActiveContract)| BaseQuota {
                customer: customer.clone(),
                version: found.version,
                terms: found.terms.clone(),
                base: rank.map_or(0, |r| quota_of_rank(found.terms.concurrency, r as u32, entries)),
                members: members.version(),
            };
        fold.contracts().iter().map(base_quota).collect()
    })
}

/// Lends a peer what this entry does not use of a customer's concurrency.
pub(crate) fn lend(shared: &Shared, req: &LoanRequest) -> LoanReply {
    let Ok(customer) = req.customer.parse::<CustomerName>() else {
        return LoanReply::default();
    };
    let now = shared.now();
    let mut dispatch = lock(&shared.dispatch);
    let queue = &mut dispatch.dispatcher.queue;
    let in_use = queue.running(&customer) + queue.demand_of(&customer);
    let mut quotas = lock(&shared.quotas);
    let Some(customer_quota) = quotas.get_mut(&customer) else {
        return LoanReply::default();
    };
    let hold = LOAN_LENGTH + customer_quota.deadline + TASK_GRACE;
    let loan = customer_quota.quota.lend(now, req.count, in_use, hold);
    queue.set_limit(&customer, customer_quota.quota.limit(now));
    loan.map_or(LoanReply::default(), |loan| LoanReply { count: loan.count, id: loan.id })
}

/// Takes back a loan.
pub(crate) fn on_repaid(shared: &Shared, repayment: &Repayment) {
    if let Ok(customer) = repayment.customer.parse::<CustomerName>()
        && let Some(customer_quota) = lock(&shared.quotas).get_mut(&customer)
    {
        customer_quota.quota.on_repaid(repayment.id);
    }
}

/// Gives back loans that have run out, once their tasks have ended.
fn repay_expired(shared: &Shared) {
    let now = shared.now();
    let dispatch = lock(&shared.dispatch);
    let mut quotas = lock(&shared.quotas);
    for (customer, customer_quota) in quotas.iter_mut() {
        let running = dispatch.dispatcher.queue.running(customer);
        for loan in customer_quota.quota.take_repayable(now, running) {
            let lender = customer_quota.lenders.remove(&(loan.id, loan.expires_at));
            if let Some(mut client) = lender.and_then(|lender| shared.peer(&lender)) {
                let repayment = Repayment { customer: customer.to_string(), id: loan.id };
                // A repayment that is lost comes about when the lender's time for it is over.
                tokio::spawn(async move { client.repay(repayment).await });
            }
        }
    }
}

/// Sets the customers' limits; returns those that are held back by theirs.
fn update_limits(shared: &Shared) -> Vec<(CustomerName, u32)> {
    let now = shared.now();
    let mut dispatch = lock(&shared.dispatch);
    let quotas = lock(&shared.quotas);
    let queue = &mut dispatch.dispatcher.queue;
    for (customer, customer_quota) in quotas.iter() {
        queue.set_terms(customer, customer_quota.share, customer_quota.quota.limit(now));
    }
    queue.blocked_by_limit()
}

async fn borrow(shared: &Shared, customer: &CustomerName, mut missing: u32) {
    for (lender, mut client) in shared.other_members() {
        if missing == 0 {
            return;
        }
        let requested_at: Instant = shared.now();
        let req = LoanRequest { customer: customer.to_string(), count: missing };
        let Ok(Ok(reply)) = timeout(LOAN_REQUEST_TIMEOUT, client.lend(req)).await else {
            continue;
        };
        let LoanReply { count, id } = reply.into_inner();
        missing = missing.saturating_sub(count);
        if count > 0
            && let Some(customer_quota) = lock(&shared.quotas).get_mut(customer)
        {
            customer_quota.quota.borrow(requested_at, id, count, LOAN_LENGTH);
            customer_quota.lenders.insert((id, requested_at + LOAN_LENGTH), lender);
        }
    }
    update_limits(shared);
    shared.dispatch_wakeup.notify_one();
}
