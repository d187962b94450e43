//! Quantities written with a unit: durations, sizes and percentages.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use snafu::Snafu;

/// The error returned for an invalid quantity.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum QuantityError {
    /// The text is not a duration with a unit.
    #[snafu(display(
        "{text:?} is not a duration; write a number with its unit, such as 250ms or 5s"
    ))]
    BadDuration {
        /// The rejected text.
        text: CompactString,
    },
    /// The text is not a size with a unit, or it exceeds 64 bits.
    #[snafu(display(
        "{text:?} is not a size; write a number with its unit, such as 64KiB or 1MiB"
    ))]
    BadSize {
        /// The rejected text.
        text: CompactString,
    },
    /// The text is not a percentage between 0% and 100%.
    #[snafu(display("{text:?} is not a percentage; write 0% to 100%"))]
    BadPercent {
        /// The rejected text.
        text: CompactString,
    },
}

/// Parses a duration with a unit, such as `250ms`.
///
/// # Errors
///
/// Returns [`QuantityError::BadDuration`] if the text has no unit or is not a duration.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cowslipwing_types::parse_duration;
///
/// assert_eq!(parse_duration("250ms").unwrap(), Duration::from_millis(250));
/// assert!(parse_duration("250").is_err());
/// ```
pub fn parse_duration(text: &str) -> Result<Duration, QuantityError> {
    humantime::parse_duration(text).map_err(|_| BadDurationSnafu { text }.build())
}

/// A size in bytes, written as a whole number with the unit B, KiB, MiB or GiB.
///
/// # Examples
///
/// ```
/// use cowslipwing_types::ByteSize;
///
/// let size: ByteSize = "64KiB".parse().unwrap();
/// assert_eq!(size.bytes(), 65_536);
/// assert_eq!(size.to_string(), "64KiB");
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ByteSize(u64);

const SIZE_UNITS: [(&str, u64); 4] =
    [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl ByteSize {
    /// Creates a size from a number of bytes.
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    pub const fn bytes(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_whole = |unit: u64| self.0 >= unit && self.0.is_multiple_of(unit);
        let (name, unit) =
            SIZE_UNITS.into_iter().find(|(_, unit)| is_whole(*unit)).unwrap_or(("B", 1));
        write!(f, "{}{name}", self.0 / unit)
    }
}

impl FromStr for ByteSize {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || BadSizeSnafu { text }.build();
        let (name, unit) =
            SIZE_UNITS.into_iter().find(|(name, _)| text.ends_with(name)).ok_or_else(invalid)?;
        let digits = text[..text.len() - name.len()].trim_end();
        let count: u64 = digits.parse().map_err(|_| invalid())?;
        count.checked_mul(unit).map(Self).ok_or_else(invalid)
    }
}

/// A percentage from 0% to 100%.
///
/// # Examples
///
/// ```
/// use cowslipwing_types::Percent;
///
/// let percent: Percent = "5%".parse().unwrap();
/// assert_eq!(percent.ratio(), 0.05);
/// assert!("101%".parse::<Percent>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Percent(f64);

impl Percent {
    /// Returns the percentage as a ratio from 0 to 1.
    pub fn ratio(self) -> f64 {
        self.0 / 100.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || BadPercentSnafu { text }.build();
        let value: f64 = text.strip_suffix('%').and_then(|n| n.parse().ok()).ok_or_else(invalid)?;
        if (0.0..=100.0).contains(&value) { Ok(Self(value)) } else { Err(invalid()) }
    }
}
