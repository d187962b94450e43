//! Operator requests: contracts, endpoints, batches and the status of the entry.

use std::sync::atomic::Ordering;

use cowslipwing_fold::{ActiveContract, ApplyOutcome, Fold, Terms};
use cowslipwing_proto::{
    BatchWithdrawal, Contract, ContractChange, ContractInForce, ContractList, EndpointChange,
    EndpointList, EndpointView, SiteChange, StatusView, record::Body,
};
use cowslipwing_types::{BatchName, CustomerName, EndpointName, Site, Version};
use snafu::ResultExt;

use super::append::append;
use super::link;
use super::shared::{Shared, lock, name_of};
use crate::api_error::{ApiError, BadNameSnafu};

/// Publishes or amends a contract, if `base` is the version in force. A customer without a contract
/// has version 0.
///
/// # Errors
///
/// Returns an error if another version is in force, if the customer's name or the terms are
/// invalid, or if the record is not read back from the log in time.
pub(crate) async fn change_contract(
    shared: &Shared,
    customer: &str,
    base: Version,
    contract: Contract,
) -> Result<ContractInForce, ApiError> {
    let customer = parse_customer(customer)?;
    let bad_contract = |error: cowslipwing_fold::ContractError| ApiError::BadContract {
        detail: error.to_string(),
    };
    Terms::try_from(&contract).map_err(bad_contract)?;
    let change = ContractChange {
        customer: customer.to_string(),
        base_version: base.get(),
        contract: Some(contract.clone()),
    };
    match append(shared, Body::Contract(change)).await? {
        ApplyOutcome::ContractChanged(version) => Ok(ContractInForce {
            customer: customer.to_string(),
            version: version.get(),
            contract: Some(contract),
            append_id: String::new(),
        }),
        ApplyOutcome::StaleBase { in_force } => Err(ApiError::StaleBase { base, in_force }),
        _ => Err(ApiError::LogUnavailable),
    }
}

/// Returns the contract of a customer.
///
/// # Errors
///
/// Returns an error if the customer's name is invalid or the customer has no contract.
pub(crate) fn show_contract(shared: &Shared, customer: &str) -> Result<ContractInForce, ApiError> {
    let customer = parse_customer(customer)?;
    let contract = shared.with_fold(|fold| {
        fold.contracts().get(&customer).map(|active| contract_view(&customer, active))
    });
    contract.ok_or(ApiError::UnknownCustomer { customer })
}

/// Returns the contracts of all customers.
pub(crate) fn list_contracts(shared: &Shared) -> ContractList {
    let contracts = shared.with_fold(|fold| {
        fold.contracts().iter().map(|(customer, active)| contract_view(customer, active)).collect()
    });
    ContractList { contracts }
}

/// Withdraws an endpoint if `withdrawn` is `true`, and returns it to service otherwise.
///
/// # Errors
///
/// Returns an error if the name is invalid or the record is not read back from the log in time.
pub(crate) async fn change_endpoint(
    shared: &Shared,
    endpoint: &str,
    withdrawn: bool,
) -> Result<(), ApiError> {
    let endpoint: EndpointName = endpoint.parse().context(BadNameSnafu { field: "endpoint" })?;
    let change = EndpointChange { endpoint: endpoint.to_string(), withdrawn };
    append(shared, Body::Endpoint(change)).await.map(|_| ())
}

/// Evacuates a data centre if `evacuated` is `true`, and returns it to service otherwise.
///
/// # Errors
///
/// Returns an error if the name is invalid or the record is not read back from the log in time.
pub(crate) async fn change_site(
    shared: &Shared,
    site: &str,
    evacuated: bool,
) -> Result<(), ApiError> {
    let site: Site = site.parse().context(BadNameSnafu { field: "site" })?;
    let change = SiteChange { site: site.to_string(), evacuated };
    append(shared, Body::Site(change)).await.map(|_| ())
}

/// Withdraws the open jobs of a batch; entries refuse new jobs in it.
///
/// # Errors
///
/// Returns an error if a name is invalid or the record is not read back from the log in time.
pub(crate) async fn withdraw_batch(
    shared: &Shared,
    customer: &str,
    batch: &str,
) -> Result<(), ApiError> {
    let customer = parse_customer(customer)?;
    let batch: BatchName = batch.parse().context(BadNameSnafu { field: "batch" })?;
    let withdrawal = BatchWithdrawal { customer: customer.to_string(), batch: batch.to_string() };
    append(shared, Body::Batch(withdrawal)).await.map(|_| ())
}

/// Returns the endpoints that this entry knows, with the credits that it holds from each and the
/// number of its tasks running there.
pub(crate) fn list_endpoints(shared: &Shared) -> EndpointList {
    let members = shared.members();
    let announcements: Vec<_> = lock(&shared.links)
        .iter()
        .map(|(id, link)| (id.clone(), link.announcement.clone()))
        .collect();
    let dispatch = lock(&shared.dispatch);
    let usable_agents = lock(&shared.usable_agents);
    let view = |(id, announcement): &(_, cowslipwing_proto::Announcement)| {
        let (credits, running) = dispatch.dispatcher.placement.credits_and_running(id);
        EndpointView {
            endpoint: name_of(&announcement.incarnation).to_owned(),
            site: announcement.site.clone(),
            incarnation: announcement.incarnation.clone(),
            slots: announcement.slots,
            credits,
            running,
            withdrawn: announcement.leaving
                || link::is_withdrawn(shared, &announcement.endpoint, &announcement.site),
            usable: shared.ranges().all(|range| usable_agents.is_usable(&members, range, id)),
        }
    };
    EndpointList { endpoints: announcements.iter().map(view).collect() }
}

/// Returns the status of this entry.
pub(crate) fn status(shared: &Shared) -> StatusView {
    let now = shared.now();
    let owned = shared.owned_ranges();
    let serving = owned.iter().filter(|(range, _)| shared.shard(*range).is_serving()).count();
    let log_state = shared.log_state.read().expect("the log state lock is not poisoned");
    let log_age = now.duration_since(log_state.tail_read_at.unwrap_or(shared.started_at));
    let members = log_state.fold.membership();
    StatusView {
        entry: shared.id.to_string(),
        site: shared.site.to_string(),
        next_offset: Fold::next_offset(&log_state.fold).get(),
        member_version: members.version().get(),
        members: members.current().iter().map(|(id, _)| id.to_string()).collect(),
        ranges_owned: owned.len() as u32,
        ranges_serving: serving as u32,
        open_jobs: shared.open_jobs.load(Ordering::Relaxed),
        log_age_ms: u64::try_from(log_age.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Parses a customer's name.
pub(crate) fn parse_customer(text: &str) -> Result<CustomerName, ApiError> {
    text.parse().context(BadNameSnafu { field: "customer" })
}

fn contract_view(customer: &CustomerName, active: &ActiveContract) -> ContractInForce {
    ContractInForce {
        customer: customer.to_string(),
        version: active.version.get(),
        contract: Some(active.contract.clone()),
        append_id: active.append_id.to_string(),
    }
}
