//! The state machine that applies the records of the log.

use cowslipwing_proto::{self as proto, record::Body};
use cowslipwing_types::{
    BatchName, CustomerName, EndpointName, Epoch, MemberVersion, Offset, RangeId, Site, SortedMap,
    Version,
};

use crate::contract::{Contracts, Terms};
use crate::members::Membership;
use crate::ranges::RangeOwners;

/// Number of withdrawn batches remembered; when it is exceeded, the oldest is removed.
const MAX_WITHDRAWN_BATCHES: usize = 4096;

/// The effect of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// The record has taken effect.
    Applied,
    /// The contract has been changed and now has this version.
    ContractChanged(Version),
    /// The change was based on a version of the contract other than the one in force; no effect.
    StaleBase {
        /// The version in force.
        in_force: Version,
    },
    /// A takeover; ranges that an earlier record has already taken over are left out.
    Takeover {
        /// The ranges that now belong to the new owner.
        won: Vec<RangeId>,
    },
    /// The record conflicts with the current membership; no effect.
    ///
    /// For example, a join is based on a version of the member set that is not current or has not
    /// settled, or a takeover names an owner that is not a member.
    StaleMembers,
    /// The record is malformed, or lies beyond the next offset; no effect.
    Ignored,
    /// The record lies before the next offset and has been applied before; no effect.
    AlreadyApplied,
}

/// The state that results from all records of the log before an offset.
///
/// # Examples
///
/// ```
/// use cowslipwing_fold::{Fold, ApplyOutcome};
/// use cowslipwing_proto::{ContractChange, Contract, Record, record::Body};
/// use cowslipwing_types::Offset;
///
/// let contract = Contract {
///     share: 1,
///     concurrency: 10,
///     deadline: "5s".into(),
///     refusals: "5%".into(),
///     open_jobs: 10,
/// };
/// let change = ContractChange {
///     customer: "gym".into(),
///     base_version: 0,
///     contract: Some(contract),
/// };
/// let record = Record { append_id: "a1".into(), body: Some(Body::Contract(change)) };
/// let mut fold = Fold::default();
/// assert!(matches!(fold.apply(Offset::new(0), &record), ApplyOutcome::ContractChanged(_)));
/// assert!(matches!(fold.apply(Offset::new(1), &record), ApplyOutcome::StaleBase { .. }));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fold {
    pub(crate) next_offset: Offset,
    pub(crate) contracts: Contracts,
    pub(crate) withdrawn_endpoints: SortedMap<EndpointName, ()>,
    pub(crate) evacuated_sites: SortedMap<Site, ()>,
    pub(crate) withdrawn_batches: Vec<(CustomerName, BatchName)>,
    pub(crate) membership: Membership,
    pub(crate) range_owners: RangeOwners,
}

impl Fold {
    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the contracts in force.
    pub fn contracts(&self) -> &Contracts {
        &self.contracts
    }

    /// Returns the membership of entries.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the owners of all ranges.
    pub fn range_owners(&self) -> &RangeOwners {
        &self.range_owners
    }

    /// Returns whether an operator has withdrawn an endpoint.
    pub fn is_endpoint_withdrawn(&self, endpoint: &EndpointName) -> bool {
        self.withdrawn_endpoints.contains(endpoint)
    }

    /// Returns whether an operator has evacuated a data centre.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_fold::Fold;
    /// use cowslipwing_proto::{Record, SiteChange, record::Body};
    /// use cowslipwing_types::Offset;
    ///
    /// let change = |evacuated| Record {
    ///     append_id: "a1".into(),
    ///     body: Some(Body::Site(SiteChange { site: "athens".into(), evacuated })),
    /// };
    /// let site = "athens".parse().unwrap();
    /// let mut fold = Fold::default();
    /// fold.apply(Offset::new(0), &change(true));
    /// assert!(fold.is_site_evacuated(&site));
    /// fold.apply(Offset::new(1), &change(false));
    /// assert!(!fold.is_site_evacuated(&site));
    /// ```
    pub fn is_site_evacuated(&self, site: &Site) -> bool {
        self.evacuated_sites.contains(site)
    }

    /// Returns whether a customer's batch has been withdrawn.
    ///
    /// Only the latest 4096 withdrawals are remembered.
    pub fn is_batch_withdrawn(&self, customer: &CustomerName, batch: &BatchName) -> bool {
        self.withdrawn_batches.iter().any(|(c, b)| c == customer && b == batch)
    }

    /// Applies the record at an offset.
    ///
    /// Only the record at the next offset has an effect; it advances the offset even if it is
    /// rejected or malformed. After a gap in the log, the state must first be replaced by
    /// [`Self::replace_if_newer`].
    pub fn apply(&mut self, offset: Offset, record: &proto::Record) -> ApplyOutcome {
        if offset < self.next_offset {
            return ApplyOutcome::AlreadyApplied;
        }
        if offset > self.next_offset {
            return ApplyOutcome::Ignored;
        }
        self.next_offset = offset.next();
        match &record.body {
            Some(body) => self.apply_body(body, &record.append_id),
            None => ApplyOutcome::Ignored,
        }
    }

    /// Replaces the state by that of a peer or a snapshot if the latter is newer.
    ///
    /// Returns whether the state was replaced.
    pub fn replace_if_newer(&mut self, other: Fold) -> bool {
        let is_newer = other.next_offset > self.next_offset;
        if is_newer {
            *self = other;
        }
        is_newer
    }

    fn apply_body(&mut self, body: &Body, append_id: &str) -> ApplyOutcome {
        match body {
            Body::Contract(change) => self.apply_contract_change(change, append_id),
            Body::Endpoint(change) => self.apply_endpoint_change(change),
            Body::Site(change) => self.apply_site_change(change),
            Body::Batch(withdrawal) => self.apply_batch_withdrawal(withdrawal),
            Body::Join(join) => self.apply_join(join),
            Body::Leave(leave) => self.apply_leave(leave),
            Body::Settled(settled) => {
                applied_or_stale(self.membership.settle(MemberVersion::new(settled.version)))
            }
            Body::Takeover(takeover) => self.apply_takeover(takeover),
        }
    }

    fn apply_contract_change(
        &mut self,
        change: &proto::ContractChange,
        append_id: &str,
    ) -> ApplyOutcome {
        let (Ok(customer), Ok(append_id)) = (change.customer.parse(), append_id.parse()) else {
            return ApplyOutcome::Ignored;
        };
        let Some(contract) = change.contract.clone() else {
            return ApplyOutcome::Ignored;
        };
        let Ok(terms) = Terms::try_from(&contract) else {
            return ApplyOutcome::Ignored;
        };
        let base = Version::new(change.base_version);
        match self.contracts.update(customer, base, contract, terms, append_id) {
            Ok(version) => ApplyOutcome::ContractChanged(version),
            Err(in_force) => ApplyOutcome::StaleBase { in_force },
        }
    }

    fn apply_endpoint_change(&mut self, change: &proto::EndpointChange) -> ApplyOutcome {
        let Ok(endpoint) = change.endpoint.parse::<EndpointName>() else {
            return ApplyOutcome::Ignored;
        };
        if change.withdrawn {
            self.withdrawn_endpoints.insert(endpoint, ());
        } else {
            self.withdrawn_endpoints.remove(&endpoint);
        }
        ApplyOutcome::Applied
    }

    fn apply_site_change(&mut self, change: &proto::SiteChange) -> ApplyOutcome {
        let Ok(site) = change.site.parse::<Site>() else {
            return ApplyOutcome::Ignored;
        };
        if change.evacuated {
            self.evacuated_sites.insert(site, ());
        } else {
            self.evacuated_sites.remove(&site);
        }
        ApplyOutcome::Applied
    }

    fn apply_batch_withdrawal(&mut self, withdrawal: &proto::BatchWithdrawal) -> ApplyOutcome {
        let (Ok(customer), Ok(batch)) = (withdrawal.customer.parse(), withdrawal.batch.parse())
        else {
            return ApplyOutcome::Ignored;
        };
        if self.is_batch_withdrawn(&customer, &batch) {
            return ApplyOutcome::Applied;
        }
        if self.withdrawn_batches.len() == MAX_WITHDRAWN_BATCHES {
            self.withdrawn_batches.remove(0);
        }
        self.withdrawn_batches.push((customer, batch));
        ApplyOutcome::Applied
    }

    fn apply_join(&mut self, join: &proto::MemberJoin) -> ApplyOutcome {
        let Some(member) = join.member.clone() else {
            return ApplyOutcome::Ignored;
        };
        let Ok(id) = member.entry.parse() else {
            return ApplyOutcome::Ignored;
        };
        applied_or_stale(self.membership.join(MemberVersion::new(join.base_version), id, member))
    }

    fn apply_leave(&mut self, leave: &proto::MemberLeave) -> ApplyOutcome {
        let Ok(id) = leave.entry.parse() else {
            return ApplyOutcome::Ignored;
        };
        applied_or_stale(self.membership.leave(MemberVersion::new(leave.base_version), &id))
    }

    fn apply_takeover(&mut self, takeover: &proto::RangeTakeover) -> ApplyOutcome {
        let Ok(owner) = takeover.owner.parse() else {
            return ApplyOutcome::Ignored;
        };
        if !self.membership.current().contains(&owner) {
            return ApplyOutcome::StaleMembers;
        }
        let mut won = Vec::new();
        for claim in &takeover.ranges {
            let Some(range) = RangeId::from_number(claim.range) else {
                continue;
            };
            let epoch = Epoch::new(claim.epoch);
            if !won.contains(&range) && self.range_owners.take_over(range, epoch, owner.clone()) {
                won.push(range);
            }
        }
        ApplyOutcome::Takeover { won }
    }
}

fn applied_or_stale(applied: bool) -> ApplyOutcome {
    if applied { ApplyOutcome::Applied } else { ApplyOutcome::StaleMembers }
}
