//! Builds the contracts, the entries' membership and the range owners from the decision log.
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
