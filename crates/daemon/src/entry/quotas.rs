//! Enforces each contract's concurrency limit across all entries.
//!
//! Each entry has a quota, which is its part of the limit. An entry whose quota is used up borrows
//! from the others. The quota before loans is its base.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cowslipwing_fold::Terms;
use cowslipwing_policy::{Quota, quota_of_rank};
use cowslipwing_proto::{LoanReply, LoanRequest, Repayment};
use cowslipwing_types::{CustomerName, EntryId, MemberVersion, SortedMap, Version};
use tokio::time::timeout;

use super::shared::{Shared, lock};

/// Interval between checks for customers that have reached their limit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between such checks while no job is open.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which the borrower may use a loan.
const LOAN_LENGTH: Duration = Duration::from_secs(2);
/// Time after a job's deadline within which agents end its tasks.
const TASK_GRACE: Duration = Duration::from_secs(2);
/// Timeout of a request for a loan.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of tasks for which a loan is requested at once.
const MAX_LOAN_REQUEST: u32 = 64;

/// This entry's quota for a customer, and the values that it was computed from.
pub(crate) struct CustomerQuota {
    quota: Quota,
    /// Longest deadline that the contract has had.
    deadline: Duration,
    share: u32,
    /// Version of the member set that the base was computed from. It is older than the current
    /// version while the quota waits to be raised.
    member_version: MemberVersion,
    contract_version: Version,
    /// Lenders of the borrowed loans, by the loan's id and expiry.
    lenders: SortedMap<(u64, Instant), EntryId>,
}

/// Raises quotas, and borrows and repays loans, until the entry stops.
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

/// Updates the quotas to the contracts and the member set in force.
///
/// A lower base takes effect at once. A higher one waits until [`raise_quotas`] finds that no other
/// entry can still use the difference. This includes removed entries, whose tasks may still run.
pub(crate) fn update_quotas(shared: &Shared) {
    let has_read_log =
        shared.log_state.read().expect("the log state lock is not poisoned").tail_read_at.is_some();
    let base_quotas = compute_base_quotas(shared);
    let mut quotas = lock(&shared.quotas);
    for BaseQuota { customer, contract_version, terms, base, member_version } in base_quotas {
        let customer_quota = quotas.get_or_insert_with(customer, || CustomerQuota {
            quota: Quota::new(0),
            deadline: terms.deadline,
            share: terms.share,
            member_version: if has_read_log { member_version } else { MemberVersion::default() },
            contract_version: Version::new(0),
            lenders: SortedMap::new(),
        });
        customer_quota.share = terms.share;
        customer_quota.deadline = customer_quota.deadline.max(terms.deadline);
        let only_terms_changed = customer_quota.member_version == member_version
            && customer_quota.contract_version != contract_version;
        if only_terms_changed {
            customer_quota.quota.set_base(base);
        } else {
            customer_quota.quota.lower_base(base);
        }
        customer_quota.contract_version = contract_version;
    }
    drop(quotas);
    update_limits(shared);
}

/// Raises the quotas to the base that the current member set allows.
///
/// Does nothing until the member set has settled, every other member stays within its quota, and
/// all tasks that removed entries have started must have ended.
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
    let base_quotas = compute_base_quotas(shared);
    let mut quotas = lock(&shared.quotas);
    for base_quota in
        base_quotas.into_iter().filter(|base_quota| base_quota.member_version == version)
    {
        if let Some(customer_quota) = quotas.get_mut(&base_quota.customer)
            && customer_quota.member_version != version
        {
            customer_quota.quota.set_base(base_quota.base);
            customer_quota.member_version = version;
        }
    }
}

/// Extends the time for which quotas are not raised, because an entry has been removed whose tasks
/// may still run.
pub(crate) fn extend_hold(shared: &Shared) {
    let deadline =
        lock(&shared.quotas).values().map(|customer_quota| customer_quota.deadline).max();
    let hold = shared.lease.length + deadline.unwrap_or_default() + TASK_GRACE;
    let until = shared.now() + hold;
    let mut hold_until = lock(&shared.hold_until);
    *hold_until = (*hold_until).max(Some(until));
}

/// Returns this entry's quota status for a lease reply: the current version of the member set if
/// the entry stays within all its quotas and 0 otherwise, and the time for which tasks of removed
/// entries may still run.
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

/// This entry's part of a contract's concurrency limit in the current member set.
struct BaseQuota {
    customer: CustomerName,
    contract_version: Version,
    terms: Terms,
    /// Number of tasks that may run at the same time, before loans.
    base: u32,
    member_version: MemberVersion,
}

fn compute_base_quotas(shared: &Shared) -> Vec<BaseQuota> {
    shared.with_fold(|fold| {
        let members = fold.membership();
        let current = members.current();
        let rank = current.iter().position(|(id, _)| *id == shared.id);
        let entries = current.len() as u32;
        let base_quota =
            |(customer, contract): (&CustomerName, &cowslipwing_fold::ActiveContract)| BaseQuota {
                customer: customer.clone(),
                contract_version: contract.version,
                terms: contract.terms.clone(),
                base: rank
                    .map_or(0, |r| quota_of_rank(contract.terms.concurrency, r as u32, entries)),
                member_version: members.version(),
            };
        fold.contracts().iter().map(base_quota).collect()
    })
}

/// Lends a peer the requested part of a customer's quota, as far as this entry does not use it.
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

/// Ends a loan that the borrower has repaid.
pub(crate) fn on_repaid(shared: &Shared, repayment: &Repayment) {
    if let Ok(customer) = repayment.customer.parse::<CustomerName>()
        && let Some(customer_quota) = lock(&shared.quotas).get_mut(&customer)
    {
        customer_quota.quota.on_repaid(repayment.id);
    }
}

/// Repays the expired loans that running tasks no longer need.
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
                // If the repayment is lost, the lender's hold on the loan expires.
                tokio::spawn(async move { client.repay(repayment).await });
            }
        }
    }
}

/// Updates the customers' limits in the queue. Returns the customers that have reached their limit,
/// each with its number of queued tasks.
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

/// Borrows quota for `missing` tasks from the other members, one after another.
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
