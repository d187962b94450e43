//! Quantities written with their unit.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use snafu::Snafu;

/// A quantity that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum QuantityError {
    /// Not a duration.
    #[snafu(display(
        "{text:?} is not a duration; write a number with its unit, such as 250ms or 5s"
    ))]
    BadDuration {
        /// The text as given.
        text: CompactString,
    },
    /// Not a size.
    #[snafu(display(
        "{text:?} is not a size; write a number with its unit, such as 64KiB or 1MiB"
    ))]
    BadSize {
        /// The text as given.
        text: CompactString,
    },
    /// Not a percentage.
    #[snafu(display("{text:?} is not a percentage; write 0% to 100%"))]
    BadPercent {
        /// The text as given.
        text: CompactString,
    },
}

/// Reads a duration with its unit.
///
/// # Errors
///
/// Fails where the text has no unit or is not a duration.
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

/// A size in bytes.
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
    /// Wraps a number of bytes.
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
        let fits = |unit: u64| self.0 >= unit && self.0.is_multiple_of(unit);
        let (name, unit) = SIZE_UNITS.into_iter().find(|(_, unit)| fits(*unit)).unwrap_or(("B", 1));
        write!(f, "{}{name}", self.0 / unit)
    }
}

impl FromStr for ByteSize {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || BadSizeSnafu { text }.build();
        let (name, unit) =
            SIZE_UNITS.into_iter().find(|(name, _)| text.ends_with(name)).ok_or_else(bad)?;
        let digits = text[..text.len() - name.len()].trim_end();
        let count: u64 = digits.parse().map_err(|_| bad())?;
        count.checked_mul(unit).map(Self).ok_or_else(bad)
    }
}

/// A ratio from 0% to 100%.
///
/// # Examples
///
/// ```
/// use cowslipwing_types::Percent;
///
/// let part: Percent = "5%".parse().unwrap();
/// assert_eq!(part.ratio(), 0.05);
/// assert!("101%".parse::<Percent>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Percent(f64);

impl Percent {
    /// Returns the ratio, from 0 to 1.
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
        let bad = || BadPercentSnafu { text }.build();
        let value: f64 = text.strip_suffix('%').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
        if (0.0..=100.0).contains(&value) { Ok(Self(value)) } else { Err(bad()) }
    }
}
