//! Takes over ranges whose owner has left or is suspected of having failed, and ranges that have
//! never had one.
//!
//! A takeover has to win on the decision log. If there was an earlier owner that has not
//! transferred its state, a majority of the members then promises to confirm no older epoch, or the
//! configured `lease.log_absence` passes. After that, a survey of the agents finds the tasks that
//! earlier owners have started.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cowslipwing_claims::{AwaitingPromises, AwaitingSurveys, Recovery, Takeover};
use cowslipwing_fold::{ApplyOutcome, MemberSet};
use cowslipwing_proto::agent_client::AgentClient;
use cowslipwing_proto::{
    Announcement, PromiseReply, PromiseRequest, RangeEpoch, RangeTakeover, SurveyReply,
    SurveyRequest, record::Body,
};
use cowslipwing_types::{EntryId, Epoch, Incarnation, MemberVersion, RangeId, SortedMap};
use futures::future::join_all;
use tokio::time::timeout;

use super::append::append;
use super::shard::ServingState;
use super::shared::{Shared, lock};
use super::transfer;
use crate::convert::{range_epochs_to_proto, range_ids_from_proto, recovered_task_from_proto};
use crate::net;

/// Interval between checks of the ranges, unless a change of the log causes one earlier.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after joining before ranges are claimed, so that entries that start together share them.
const CLAIM_DELAY: Duration = Duration::from_secs(1);
/// Timeout of a request to a member for its promise.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of one survey of an agent.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of attempts to survey an agent.
const SURVEY_ATTEMPTS: u32 = 2;

/// Claims ranges, and takes over those that this entry has won, until the entry stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    tokio::spawn(claim_ranges(shared.clone()));
    let mut started: SortedMap<RangeId, Epoch> = SortedMap::new();
    loop {
        let won = newly_won(&shared, &mut started);
        if !won.is_empty() {
            tokio::spawn(take_over(shared.clone(), won));
        }
        let fold_changed = shared.fold_changed.notified();
        let _ = timeout(POLL_INTERVAL, fold_changed).await;
    }
}

/// Claims the ranges that this entry should own, as long as it is a member and not stopping.
async fn claim_ranges(shared: Arc<Shared>) {
    let mut member_since = None;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let members = shared.members();
        if !members.contains(&shared.id) || shared.is_stopping() {
            member_since = None;
            continue;
        }
        let since = *member_since.get_or_insert_with(|| shared.now());
        if shared.now() < since + CLAIM_DELAY {
            continue;
        }
        let claims = ranges_to_claim(&shared, &members);
        if claims.is_empty() {
            continue;
        }
        let ranges = range_epochs_to_proto(&claims);
        let takeover = RangeTakeover { owner: shared.id.to_string(), ranges };
        match append(&shared, Body::Takeover(takeover)).await {
            Ok(ApplyOutcome::Takeover { won }) => {
                log::info!("ranges: won the takeover of {} ranges.", won.len())
            }
            Ok(_) => {}
            Err(error) => log::warn!("ranges: a takeover was not confirmed by the log: {error}."),
        }
    }
}

/// Returns the ranges without a live owner of which this entry is the preferred owner, with the
/// epochs to claim.
fn ranges_to_claim(shared: &Shared, members: &MemberSet) -> Vec<(RangeId, Epoch)> {
    let owners: Vec<(RangeId, Epoch, Option<EntryId>)> = shared.with_fold(|fold| {
        let owner = |range| fold.range_owners().get(range).map(|ownership| ownership.owner.clone());
        shared
            .ranges()
            .map(|range| (range, fold.range_owners().epoch(range), owner(range)))
            .collect()
    });
    let is_orphan = |owner: &Option<EntryId>| {
        owner.as_ref().is_none_or(|id| !members.contains(id) || !shared.is_live(id))
    };
    owners
        .into_iter()
        .filter(|(_, _, owner)| is_orphan(owner))
        .filter(|(range, _, _)| {
            shared.preferred_owner(members, *range).as_ref() == Some(&shared.id)
        })
        .map(|(range, epoch, _)| (range, epoch.next()))
        .collect()
}

/// Returns the ranges that this entry has to take over, without those in `started`, and adds them
/// to `started`.
fn newly_won(shared: &Shared, started: &mut SortedMap<RangeId, Epoch>) -> Vec<(RangeId, Epoch)> {
    let taking_over = |range: &RangeId| {
        let shard = shared.shard(*range);
        matches!(shard.serving, ServingState::TakingOver).then_some((*range, shard.epoch))
    };
    let won: Vec<_> = shared
        .ranges()
        .filter_map(|range| taking_over(&range))
        .filter(|(range, epoch)| started.get(range) != Some(epoch))
        .collect();
    for (range, epoch) in &won {
        started.insert(*range, *epoch);
    }
    won
}

/// Takes over ranges whose takeover records have won on the log, and starts to serve them.
async fn take_over(shared: Arc<Shared>, won: Vec<(RangeId, Epoch)>) {
    for (range, _) in &won {
        lock(&shared.usable_agents).clear_refusals(*range);
    }
    // Epoch 1 is the first one of a range, so there is no earlier owner that may have started
    // tasks.
    let (first, later): (Vec<_>, Vec<_>) =
        won.into_iter().partition(|(_, epoch)| *epoch == Epoch::new(1));
    for (range, epoch) in first {
        shared.shard(range).start_serving(epoch, Recovery::first_owner());
    }
    let later: Vec<_> = later
        .into_iter()
        .filter(|(range, epoch)| !transfer::start_serving(&shared, *range, *epoch))
        .collect();
    shared.dispatch_wakeup.notify_one();
    if later.is_empty() {
        return;
    }
    let count = later.len();
    let (promised, agents) = gather_promises(&shared, later).await;
    let surveyed = survey_agents(&shared, promised, &agents).await;
    let mut complete = 0;
    for takeover in surveyed {
        let (range, epoch) = (takeover.range(), takeover.epoch());
        let recovery = takeover.finish();
        complete += usize::from(recovery.is_history_complete());
        shared.shard(range).start_serving(epoch, recovery);
    }
    log::info!("ranges: took over {count} ranges, {complete} of them with a complete history.");
    shared.dispatch_wakeup.notify_one();
}

/// The agents that members know, with an announcement of each.
type Agents = BTreeMap<Incarnation, Announcement>;

/// Asks the members for promises until every takeover can advance to its surveys, or has been
/// superseded by a newer epoch.
///
/// Returns the takeovers that have advanced and the agents to survey.
async fn gather_promises(
    shared: &Shared,
    ranges: Vec<(RangeId, Epoch)>,
) -> (Vec<Takeover<AwaitingSurveys>>, Agents) {
    let now = shared.now();
    let log_absence = shared.lease.log_absence;
    let mut pending: Vec<Takeover<AwaitingPromises>> = ranges
        .iter()
        .map(|(range, epoch)| Takeover::new(*range, *epoch, now, log_absence))
        .collect();
    let mut promised = Vec::new();
    let mut agents = Agents::new();
    while !pending.is_empty() {
        for (id, reply) in request_promises(shared, &ranges).await {
            on_promise(&mut pending, &mut agents, &id, &reply);
        }
        let members = shared.members();
        let (now, wall) = (shared.now(), shared.clock.wall());
        for takeover in std::mem::take(&mut pending) {
            match takeover.advance(&members, now, wall, shared.lease.length) {
                Ok(ready) => promised.push(ready),
                Err(not_ready) => pending.push(not_ready),
            }
        }
        if !pending.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
            pending.retain(|takeover| shared.shard(takeover.range()).epoch == takeover.epoch());
        }
    }
    (promised, agents)
}

/// Asks every member, this entry included, to confirm no older epoch of the ranges.
///
/// Returns the replies of the members that follow the same version of the member set.
async fn request_promises(
    shared: &Shared,
    ranges: &[(RangeId, Epoch)],
) -> Vec<(EntryId, PromiseReply)> {
    let version = shared.with_fold(|fold| fold.membership().version());
    let req = PromiseRequest {
        entry: shared.id.to_string(),
        member_version: version.get(),
        ranges: range_epochs_to_proto(ranges),
    };
    let calls = shared.other_members().into_iter().map(|(id, mut client)| {
        let req = req.clone();
        async move {
            let reply = timeout(PROMISE_TIMEOUT, client.promise(req)).await.ok()?.ok()?;
            Some((id, reply.into_inner()))
        }
    });
    let mut replies: Vec<_> = join_all(calls).await.into_iter().flatten().collect();
    replies.push((shared.id.clone(), promise(shared, &req)));
    replies.retain(|(_, reply)| MemberVersion::new(reply.member_version) == version);
    replies
}

/// Promises to a new owner to confirm no older epochs of the ranges, and lists the known agents.
///
/// Promises nothing if this entry has not read the log for too long or follows another version of
/// the member set than the new owner.
pub(crate) fn promise(shared: &Shared, req: &PromiseRequest) -> PromiseReply {
    let mut voter = lock(&shared.lease_voter);
    let version = voter.member_version();
    let may_vote = voter.may_vote(shared.now()) && version.get() == req.member_version;
    let claims = crate::convert::range_epochs_from_proto(&req.ranges);
    let mut promised = Vec::new();
    for (range, epoch) in claims {
        if may_vote && voter.promise(range, epoch) {
            promised.push(range.get());
        }
    }
    // The agents are listed after the promises, so that the old owner cannot use an agent that is
    // missing from the list.
    let registry = lock(&shared.agent_registry);
    let heard = registry.iter().map(|(_, agent)| agent.announcement.clone()).collect();
    PromiseReply { member_version: version.get(), promised, heard }
}

/// Applies a member's reply to the takeovers, and adds the agents that the member knows.
fn on_promise(
    pending: &mut [Takeover<AwaitingPromises>],
    agents: &mut Agents,
    from: &EntryId,
    reply: &PromiseReply,
) {
    let promised = range_ids_from_proto(&reply.promised);
    let mut known_agents = Vec::new();
    for announcement in &reply.heard {
        if let Ok(incarnation) = announcement.incarnation.parse::<Incarnation>() {
            agents.insert(incarnation.clone(), announcement.clone());
            known_agents.push(incarnation);
        }
    }
    for takeover in pending.iter_mut().filter(|takeover| promised.contains(&takeover.range())) {
        takeover.on_promise(from, known_agents.iter().cloned());
    }
}

/// Surveys all agents for the tasks that they hold.
///
/// Returns the takeovers that have not been superseded by a newer epoch meanwhile.
async fn survey_agents(
    shared: &Shared,
    mut takeovers: Vec<Takeover<AwaitingSurveys>>,
    agents: &Agents,
) -> Vec<Takeover<AwaitingSurveys>> {
    let ranges: Vec<RangeEpoch> = takeovers
        .iter()
        .map(|takeover| RangeEpoch { range: takeover.range().get(), epoch: takeover.epoch().get() })
        .collect();
    let calls = agents
        .iter()
        .map(|(id, announcement)| survey_agent(shared, id, &announcement.address, &ranges));
    for (id, reply) in join_all(calls).await {
        match reply {
            Some(reply) => on_survey(&mut takeovers, &id, &reply),
            None => {
                log::warn!("ranges: the survey of {id} failed; its history counts as missing.");
                takeovers.iter_mut().for_each(|takeover| takeover.on_survey_failed(&id));
            }
        }
    }
    takeovers.retain(|takeover| shared.shard(takeover.range()).epoch == takeover.epoch());
    takeovers
}

/// Asks an agent for the tasks that it holds. The reply is `None` if the agent does not answer or
/// has restarted.
async fn survey_agent(
    shared: &Shared,
    id: &Incarnation,
    address: &str,
    ranges: &[RangeEpoch],
) -> (Incarnation, Option<SurveyReply>) {
    let req = SurveyRequest { incarnation: id.to_string(), ranges: ranges.to_vec() };
    for _ in 0..SURVEY_ATTEMPTS {
        let Some(channel) = net::channel(address, shared.source_ip) else {
            break;
        };
        let mut client =
            AgentClient::new(channel).max_decoding_message_size(net::MAX_MESSAGE_BYTES);
        if let Ok(Ok(reply)) = timeout(SURVEY_TIMEOUT, client.survey(req.clone())).await {
            let reply = reply.into_inner();
            let is_same_incarnation = reply.incarnation == id.as_str();
            return (id.clone(), is_same_incarnation.then_some(reply));
        }
    }
    (id.clone(), None)
}

/// Applies an agent's reply to the takeovers.
fn on_survey(takeovers: &mut [Takeover<AwaitingSurveys>], id: &Incarnation, reply: &SurveyReply) {
    let tasks: Vec<_> = reply
        .holdings
        .iter()
        .filter_map(|holding| recovered_task_from_proto(id, holding))
        .collect();
    for takeover in takeovers {
        let range = takeover.range();
        if reply.fenced.contains(&range.get()) {
            takeover.on_survey_failed(id);
            continue;
        }
        let of_range = tasks.iter().filter(|(task, _)| task.job.range() == range);
        takeover.on_survey(id, of_range.cloned());
    }
}
