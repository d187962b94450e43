//! Converts a [`Fold`] to a snapshot message and back.

use compact_str::{CompactString, ToCompactString};
use cowslipwing_proto as proto;
use cowslipwing_types::{Epoch, MemberVersion, Offset, RangeId, Version};
use snafu::{Snafu, ensure};

use crate::contract::{ActiveContract, Terms};
use crate::fold::Fold;
use crate::members::{MemberSet, Membership};
use crate::ranges::Ownership;

/// An error in a snapshot: a name, a number or a contract in it is invalid.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display(
    "invalid {field} {name:?} in the snapshot; use the log or a peer's snapshot instead"
))]
pub struct SnapshotError {
    field: &'static str,
    /// The invalid name or number; for a contract, the name of its customer.
    name: CompactString,
}

fn parse<T>(field: &'static str, name: &str) -> Result<T, SnapshotError>
where
    T: std::str::FromStr,
{
    name.parse().map_err(|_| SnapshotSnafu { field, name }.build())
}

/// Checks a number of changes. Each record makes at most one, so that there are at most as many as
/// records before the snapshot's next offset.
fn check_count(
    field: &'static str,
    count: u64,
    state: &proto::FoldState,
) -> Result<u64, SnapshotError> {
    ensure!(count <= state.next_offset, SnapshotSnafu { field, name: count.to_compact_string() });
    Ok(count)
}

fn parse_members(members: &[proto::Member]) -> Result<MemberSet, SnapshotError> {
    let mut set = MemberSet::default();
    for member in members {
        set.insert(parse("entry", &member.entry)?, member.clone());
    }
    Ok(set)
}

impl TryFrom<&proto::FoldState> for Fold {
    type Error = SnapshotError;

    fn try_from(state: &proto::FoldState) -> Result<Self, Self::Error> {
        let mut fold = Self { next_offset: Offset::new(state.next_offset), ..Self::default() };
        for stored in &state.contracts {
            let contract = stored.contract.clone().unwrap_or_default();
            let terms = Terms::try_from(&contract)
                .map_err(|_| SnapshotSnafu { field: "contract", name: &stored.customer }.build())?;
            let version = Version::new(check_count("version", stored.version, state)?);
            let append_id = parse("append", &stored.append_id)?;
            let active = ActiveContract { version, contract, terms, append_id };
            fold.contracts.restore(parse("customer", &stored.customer)?, active);
        }
        for name in &state.withdrawn_endpoints {
            fold.withdrawn_endpoints.insert(parse("endpoint", name)?, ());
        }
        for name in &state.evacuated_sites {
            fold.evacuated_sites.insert(parse("site", name)?, ());
        }
        for batch in &state.withdrawn_batches {
            let customer = parse("customer", &batch.customer)?;
            fold.withdrawn_batches.push((customer, parse("batch", &batch.batch)?));
        }
        fold.membership = Membership::restore(
            MemberVersion::new(check_count("version", state.member_version, state)?),
            state.member_settled,
            parse_members(&state.members)?,
            parse_members(&state.previous_members)?,
        );
        for stored in &state.ranges {
            // A range that does not exist has no jobs.
            let Some(range) = RangeId::from_number(stored.range) else {
                continue;
            };
            let epoch = Epoch::new(check_count("epoch", stored.epoch, state)?);
            let owner = parse("entry", &stored.owner)?;
            fold.range_owners.restore(range, Ownership { epoch, owner });
        }
        Ok(fold)
    }
}

impl From<&Fold> for proto::FoldState {
    fn from(fold: &Fold) -> Self {
        let contracts = fold.contracts.iter().map(|(customer, active)| proto::ContractInForce {
            customer: customer.to_string(),
            version: active.version.get(),
            contract: Some(active.contract.clone()),
            append_id: active.append_id.to_string(),
        });
        let withdrawn_batches = fold.withdrawn_batches.iter().map(|(customer, batch)| {
            proto::BatchWithdrawal { customer: customer.to_string(), batch: batch.to_string() }
        });
        let ranges = fold.range_owners.iter().map(|(range, ownership)| proto::RangeOwner {
            range: range.get(),
            epoch: ownership.epoch.get(),
            owner: ownership.owner.to_string(),
        });
        Self {
            next_offset: fold.next_offset.get(),
            contracts: contracts.collect(),
            withdrawn_endpoints: fold.withdrawn_endpoints.keys().map(ToString::to_string).collect(),
            withdrawn_batches: withdrawn_batches.collect(),
            member_version: fold.membership.version().get(),
            member_settled: fold.membership.is_marked_settled(),
            members: fold.membership.current().iter().map(|(_, m)| m.clone()).collect(),
            previous_members: fold.membership.previous().iter().map(|(_, m)| m.clone()).collect(),
            ranges: ranges.collect(),
            evacuated_sites: fold.evacuated_sites.keys().map(ToString::to_string).collect(),
        }
    }
}
