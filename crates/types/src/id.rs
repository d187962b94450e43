//! Validated names of customers, batches, endpoints, entries, agents and sites.

use compact_str::CompactString;
use snafu::Snafu;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The error returned for an invalid name.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum NameError {
    /// The name is empty.
    #[snafu(display("the name is empty; give 1 to {MAX_NAME_BYTES} characters"))]
    Empty,
    /// The name is longer than the maximum.
    #[snafu(display("the name has {len} bytes; shorten it to at most {MAX_NAME_BYTES}"))]
    TooLong {
        /// Length of the name, in bytes.
        len: usize,
    },
    /// The name contains a character outside the accepted set.
    #[snafu(display(
        "the name {name:?} has the character {found:?}; use letters, digits and -_.:/@"
    ))]
    BadCharacter {
        /// The rejected name.
        name: CompactString,
        /// The first character outside the accepted set.
        found: char,
    },
}

pub(crate) fn check_name(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return EmptySnafu.fail();
    }
    if name.len() > MAX_NAME_BYTES {
        return TooLongSnafu { len: name.len() }.fail();
    }
    let accepted = |c: char| c.is_ascii_alphanumeric() || "-_.:/@".contains(c);
    match name.chars().find(|c| !accepted(*c)) {
        Some(found) => BadCharacterSnafu { name, found }.fail(),
        None => Ok(()),
    }
}

fn parse_name(name: &str) -> Result<CompactString, NameError> {
    check_name(name).map(|()| name.into())
}

/// Declares a newtype for text that is validated when it is parsed.
///
/// The arguments are the name of the type, its parse error and the function that validates the text
/// and converts it to a `CompactString`. The calling crate must depend on `compact_str`.
///
/// # Examples
///
/// ```
/// use compact_str::CompactString;
///
/// fn validate(text: &str) -> Result<CompactString, &'static str> {
///     if text.is_empty() { Err("the name is empty") } else { Ok(text.into()) }
/// }
///
/// cowslipwing_types::text_id!(
///     /// The name of a rack.
///     Rack, &'static str, validate
/// );
///
/// let rack: Rack = "r1-3".parse().unwrap();
/// assert_eq!(rack.to_string(), "r1-3");
/// assert!("".parse::<Rack>().is_err());
/// ```
#[macro_export]
macro_rules! text_id {
    ($(#[$doc:meta])* $kind:ident, $error:ty, $validate:path) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $kind(::compact_str::CompactString);

        impl $kind {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $kind {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl ::std::str::FromStr for $kind {
            type Err = $error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $validate(text).map(Self)
            }
        }
    };
}

text_id!(
    /// The name of a customer.
    ///
    /// # Examples
    ///
    /// ```
    /// use cowslipwing_types::CustomerName;
    ///
    /// let name: CustomerName = "orchid-nursery".parse().unwrap();
    /// assert_eq!(name.to_string(), "orchid-nursery");
    /// assert!("orchid nursery".parse::<CustomerName>().is_err());
    /// ```
    CustomerName, NameError, parse_name
);
text_id!(
    /// The name of a batch of jobs, unique within its customer.
    BatchName, NameError, parse_name
);
text_id!(
    /// The name of an endpoint, which stays the same when its agent restarts.
    EndpointName, NameError, parse_name
);
text_id!(
    /// The id of one incarnation of an entry; an entry gets a new id each time it starts.
    EntryId, NameError, parse_name
);
text_id!(
    /// The id of one incarnation of an agent; an agent gets a new id each time it starts.
    Incarnation, NameError, parse_name
);
text_id!(
    /// The name of a data centre.
    Site, NameError, parse_name
);
text_id!(
    /// The id of one append to the log of decisions. A retry keeps the id, so that the record is
    /// applied only once.
    AppendId, NameError, parse_name
);
