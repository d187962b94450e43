//! Newtypes for epochs, versions, offsets and indexes.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use snafu::Snafu;

/// Number of ranges into which jobs are partitioned by a hash of their id.
pub const RANGES: u32 = 64;

/// The error returned for text that is not a non-negative integer in range.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{text:?} is not a number; give a whole number of 0 or more"))]
pub struct NumberError {
    text: CompactString,
}

macro_rules! number_type {
    ($(#[$doc:meta])* $kind:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $kind($repr);

        impl $kind {
            /// Creates a value from its number.
            pub const fn new(value: $repr) -> Self {
                Self(value)
            }

            /// Returns the value as a number.
            pub const fn get(self) -> $repr {
                self.0
            }

            /// Returns the value that follows this one.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $kind {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $kind {
            type Err = NumberError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| NumberSnafu { text }.build())
            }
        }
    };
}

number_type!(
    /// The epoch of a range, incremented at each change of owner and used as a fencing token.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_types::Epoch;
    ///
    /// assert!(Epoch::new(3).next() > Epoch::new(3));
    /// ```
    Epoch,
    u64
);
number_type!(
    /// The version of the member set, which each join and each leave of an entry increments.
    MemberVersion,
    u64
);
number_type!(
    /// The version of a contract; 0 means that the customer has no contract.
    Version,
    u64
);
number_type!(
    /// A position in the log of decisions, from 0.
    Offset,
    u64
);
number_type!(
    /// The id of a range of jobs, below [`RANGES`].
    RangeId,
    u32
);

impl RangeId {
    /// Returns the id with a number that another process has written, or `None` if there is no such
    /// range.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_types::{RANGES, RangeId};
    ///
    /// assert_eq!(RangeId::from_number(7), Some(RangeId::new(7)));
    /// assert_eq!(RangeId::from_number(RANGES), None);
    /// ```
    pub const fn from_number(number: u32) -> Option<Self> {
        if number < RANGES { Some(Self(number)) } else { None }
    }
}

number_type!(
    /// The position of a task in its submission, from 0.
    TaskIndex,
    u32
);
