//! Writes a fold as a snapshot and reads it back.

use compact_str::CompactString;
use cowslipwing_proto as proto;
use cowslipwing_types::{Epoch, MemberVersion, Offset, RangeId, Version};
use snafu::Snafu;

use crate::contract::{InForce, Terms};
use crate::fold::Fold;
use crate::members::{MemberSet, Members};
use crate::ranges::Ownership;

/// A snapshot that cannot be read.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("the snapshot holds the unusable {what} {name:?}; fold the log or ask a peer"))]
pub struct StateError {
    what: &'static str,
    name: CompactString,
}

fn read<T>(what: &'static str, name: &str) -> Result<T, StateError>
where
    T: std::str::FromStr,
{
    name.parse().map_err(|_| StateSnafu { what, name }.build())
}

fn read_members(members: &[proto::Member]) -> Result<MemberSet, StateError> {
    let mut set = MemberSet::default();
    for member in members {
        set.insert(read("entry", &member.entry)?, member.clone());
    }
    Ok(set)
}

impl TryFrom<&proto::FoldState> for Fold {
    type Error = StateError;

    fn try_from(state: &proto::FoldState) -> Result<Self, Self::Error> {
        let mut fold = Self { next_offset: Offset::new(state.next_offset), ..Self::default() };
        for found in &state.contracts {
            let contract = found.contract.clone().unwrap_or_default();
            let terms = Terms::try_from(&contract)
                .map_err(|_| StateSnafu { what: "contract", name: &found.customer }.build())?;
            let version = Version::new(found.version);
            let append_id = read("append", &found.append_id)?;
            let in_force = InForce { version, contract, terms, append_id };
            fold.contracts.restore(read("customer", &found.customer)?, in_force);
        }
        for name in &state.withdrawn_endpoints {
            fold.withdrawn_endpoints.insert(read("endpoint", name)?, ());
        }
        for batch in &state.withdrawn_batches {
            let customer = read("customer", &batch.customer)?;
            fold.withdrawn_batches.push((customer, read("batch", &batch.batch)?));
        }
        fold.members = Members::restore(
            MemberVersion::new(state.member_version),
            state.member_settled,
            read_members(&state.members)?,
            read_members(&state.previous_members)?,
        );
        for found in &state.ranges {
            let owner = read("entry", &found.owner)?;
            let ownership = Ownership { epoch: Epoch::new(found.epoch), owner };
            fold.ranges.restore(RangeId::new(found.range), ownership);
        }
        Ok(fold)
    }
}

impl From<&Fold> for proto::FoldState {
    fn from(fold: &Fold) -> Self {
        let contracts = fold.contracts.iter().map(|(customer, found)| proto::ContractInForce {
            customer: customer.to_string(),
            version: found.version.get(),
            contract: Some(found.contract.clone()),
            append_id: found.append_id.to_string(),
        });
        let batches = fold.withdrawn_batches.iter().map(|(customer, batch)| {
            proto::BatchWithdrawal { customer: customer.to_string(), batch: batch.to_string() }
        });
        let ranges = fold.ranges.iter().map(|(range, found)| proto::RangeOwner {
            range: range.get(),
            epoch: found.epoch.get(),
            owner: found.owner.to_string(),
        });
        Self {
            next_offset: fold.next_offset.get(),
            contracts: contracts.collect(),
            withdrawn_endpoints: fold.withdrawn_endpoints.keys().map(ToString::to_string).collect(),
            withdrawn_batches: batches.collect(),
            member_version: fold.members.version().get(),
            member_settled: fold.members.settled_flag(),
            members: fold.members.current().iter().map(|(_, m)| m.clone()).collect(),
            previous_members: fold.members.previous().iter().map(|(_, m)| m.clone()).collect(),
            ranges: ranges.collect(),
        }
    }
}
