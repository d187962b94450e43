//! Builds the contracts, the withdrawals, the entries' membership and the range owners from the
//! decision log.
//!
//! The decision log is an ordered log of records on the platform's store. The members are the
//! entries that have joined and not left. Job keys are partitioned into ranges, each of which is
//! owned by one member at a time.
//!
//! [`Fold`] is a replicated state machine: every entry applies the same records in the same order
//! with the same pure function, so concurrent changes by operators or entries have the same outcome
//! everywhere.

mod contract;
mod fold;
mod members;
mod ranges;
mod snapshot;

pub use contract::{ActiveContract, ContractError, Contracts, Terms};
pub use fold::{ApplyOutcome, Fold};
pub use members::{MemberSet, Membership};
pub use ranges::{Ownership, RangeOwners};
pub use snapshot::SnapshotError;
