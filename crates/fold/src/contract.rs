//! The contracts of customers and their versions.

use std::time::Duration;

use compact_str::CompactString;
use cowslipwing_proto as proto;
use cowslipwing_types::{
    AppendId, CustomerName, Percent, QuantityError, SortedMap, Version, parse_duration,
};
use snafu::{ResultExt, Snafu, ensure};

/// Maximum deadline in a contract.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// An error in the terms of a contract.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum ContractError {
    /// A count is 0.
    #[snafu(display("{name} is 0; give a whole number of 1 or more"))]
    Zero {
        /// Name of the field.
        name: CompactString,
    },
    /// A duration or a percentage is malformed.
    #[snafu(display("{name}: {source}"))]
    BadQuantity {
        /// Name of the field.
        name: CompactString,
        /// The parse error.
        source: QuantityError,
    },
    /// The deadline is zero or longer than one hour.
    #[snafu(display("deadline {given:?} is out of bounds; give 1ms to 1h"))]
    DeadlineOutOfBounds {
        /// The deadline in the contract.
        given: Duration,
    },
}

/// The parsed and validated terms of a contract.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Weight of the customer's share of the capacity, relative to other customers.
    pub share: u32,
    /// Maximum number of tasks that run at the same time over all sites.
    pub concurrency: u32,
    /// Maximum duration of a job. A submission may ask for an earlier deadline.
    pub deadline: Duration,
    /// Maximum share of the submissions in a time window that may be refused. Entries do not
    /// enforce it.
    pub refusals: Percent,
    /// Maximum number of jobs that are open at the same time at one entry.
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

/// The contract that is in force for a customer, and its version.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveContract {
    /// Number of changes of the customer's contract so far, from 1.
    pub version: Version,
    /// The contract as published.
    pub contract: proto::Contract,
    /// The terms parsed from the contract.
    pub terms: Terms,
    /// Id of the log append that created this version.
    pub append_id: AppendId,
}

/// The contracts of all customers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contracts {
    by_customer: SortedMap<CustomerName, ActiveContract>,
}

impl Contracts {
    /// Returns the contract in force for a customer, if there is one.
    pub fn get(&self, customer: &CustomerName) -> Option<&ActiveContract> {
        self.by_customer.get(customer)
    }

    /// Iterates over the contracts in the order of the customers' names.
    pub fn iter(&self) -> impl Iterator<Item = (&CustomerName, &ActiveContract)> {
        self.by_customer.iter()
    }

    /// Returns the version in force, 0 if the customer has no contract.
    pub fn version(&self, customer: &CustomerName) -> Version {
        self.get(customer).map_or(Version::new(0), |active| active.version)
    }

    /// Replaces a customer's contract if `base` is the version in force, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns the version in force if it is not `base`.
    pub fn update(
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
        self.by_customer.insert(customer, ActiveContract { version, contract, terms, append_id });
        Ok(version)
    }

    pub(crate) fn restore(&mut self, customer: CustomerName, active: ActiveContract) {
        self.by_customer.insert(customer, active);
    }
}
