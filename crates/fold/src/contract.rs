//! Contracts of customers and their versions.

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_proto as proto;
use cowslipwing_types::{
    AppendId, CustomerName, Percent, QuantityError, SortedMap, Version, parse_duration,
};
use snafu::{ResultExt, Snafu, ensure};

/// Longest deadline a contract may name.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// A contract that cannot be honoured.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ContractError {
    /// A count is 0.
    #[snafu(display("{name} is 0; give a whole number of 1 or more"))]
    Zero {
        /// The key at fault.
        name: CompactString,
    },
    /// A quantity cannot be read.
    #[snafu(display("{name}: {source}"))]
    BadQuantity {
        /// The key at fault.
        name: CompactString,
        /// What is wrong with it.
        source: QuantityError,
    },
    /// The deadline is out of bounds.
    #[snafu(display("deadline {given:?} is out of bounds; give 1ms to 1h"))]
    DeadlineOutOfBounds {
        /// The deadline as given.
        given: Duration,
    },
}

/// The terms of a valid contract.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Relative weight of the customer's share.
    pub share: u32,
    /// Tasks that may run at once over all sites.
    pub concurrency: u32,
    /// Time a job may take where its submission names no deadline.
    pub deadline: Duration,
    /// Part of the submissions in a window that may be refused.
    pub refusals: Percent,
    /// Jobs that may be open at once at one entry.
    pub open_jobs: u32,
}

impl TryFrom<&proto::Contract> for Terms {
    type Error = ContractError;

    fn try_from(contract: &proto::Contract) -> Result<Self, Self::Error> {
        let counts = [
            ("share", contract.share),
            ("concurrency", contract.concurrency),
            ("open_jobs", contract.open_jobs),
        ];
        for (name, count) in counts {
            ensure!(count > 0, ZeroSnafu { name });
        }
        let deadline =
            parse_duration(&contract.deadline).context(BadQuantitySnafu { name: "deadline" })?;
        ensure!(
            !deadline.is_zero() && deadline <= MAX_DEADLINE,
            DeadlineOutOfBoundsSnafu { given: deadline }
        );
        let refusals = contract.refusals.parse().context(BadQuantitySnafu { name: "refusals" })?;
        Ok(Self {
            share: contract.share,
            concurrency: contract.concurrency,
            deadline,
            refusals,
            open_jobs: contract.open_jobs,
        })
    }
}

/// A contract in force and its version.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// Counts the changes from 1.
    pub version: Version,
    /// The contract as published.
    pub contract: proto::Contract,
    /// The terms read from it.
    pub terms: Terms,
    /// The append that made this version.
    pub append_id: AppendId,
}

/// The contracts of all customers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contracts {
    by_customer: SortedMap<CustomerName, InForce>,
}

impl Contracts {
    /// Returns the contract of a customer.
    pub fn get(&self, customer: &CustomerName) -> Option<&InForce> {
        self.by_customer.get(customer)
    }

    /// Walks the contracts in the order of the customers' names.
    pub fn iter(&self) -> impl Iterator<Item = (&CustomerName, &InForce)> {
        self.by_customer.iter()
    }

    /// Returns the version in force, 0 where there is none.
    pub fn version(&self, customer: &CustomerName) -> Version {
        self.get(customer).map_or(Version::new(0), |found| found.version)
    }

    /// Puts a change into force where it is based on the version in force.
    ///
    /// # Errors
    ///
    /// Returns the version in force where the base is another one.
    pub fn change(
        &mut self,
        customer: CustomerName,
        base: Version,
        contract: proto::Contract,
        terms: Terms,
        append_id: AppendId,
    ) -> Result<Version, Version> {
        let current = self.version(&customer);
        if current != base {
            return Err(current);
        }
        let version = current.next();
        self.by_customer.insert(customer, InForce { version, contract, terms, append_id });
        Ok(version)
    }

    pub(crate) fn restore(&mut self, customer: CustomerName, in_force: InForce) {
        self.by_customer.insert(customer, in_force);
    }
}
