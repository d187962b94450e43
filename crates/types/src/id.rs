//! Names of customers, endpoints, entries, sites and batches.

use compact_str::CompactString;
use snafu::Snafu;

/// Longest name accepted, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A name that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum NameError {
    /// The name is empty.
    #[snafu(display("the name is empty; give 1 to {MAX_NAME_BYTES} characters"))]
    Empty,
    /// The name is too long.
    #[snafu(display("the name has {len} bytes; shorten it to {MAX_NAME_BYTES}"))]
    TooLong {
        /// Length in bytes.
        len: usize,
    },
    /// The name has a character outside the accepted set.
    #[snafu(display(
        "the name {name:?} has the character {found:?}; use letters, digits and -_.:/@"
    ))]
    BadCharacter {
        /// The name as given.
        name: CompactString,
        /// The first character that is not accepted.
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

fn take_name(name: &str) -> Result<CompactString, NameError> {
    check_name(name).map(|()| name.into())
}

/// Declares a type of checked text: its error type, and the function that checks and takes the text.
///
/// The crate that uses it depends on `compact_str`.
///
/// # Examples
///
/// ```
/// use compact_str::CompactString;
///
/// fn check(text: &str) -> Result<CompactString, &'static str> {
///     if text.is_empty() { Err("give a name") } else { Ok(text.into()) }
/// }
///
/// cowslipwing_types::text_id!(
///     /// Names a rack.
///     Rack, &'static str, check
/// );
///
/// let rack: Rack = "r1-3".parse().unwrap();
/// assert_eq!(rack.to_string(), "r1-3");
/// assert!("".parse::<Rack>().is_err());
/// ```
#[macro_export]
macro_rules! text_id {
    ($(#[$doc:meta])* $kind:ident, $error:ty, $check:path) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $kind(::compact_str::CompactString);

        impl $kind {
            /// Returns the text.
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
                $check(text).map(Self)
            }
        }
    };
}

text_id!(
    /// Names a customer.
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
    CustomerName, NameError, take_name
);
text_id!(
    /// Names a batch of a customer's jobs.
    BatchName, NameError, take_name
);
text_id!(
    /// Names an endpoint.
    EndpointName, NameError, take_name
);
text_id!(
    /// Names one incarnation of an entry; a restarted entry has another id.
    EntryId, NameError, take_name
);
text_id!(
    /// Names one incarnation of an agent.
    Incarnation, NameError, take_name
);
text_id!(
    /// Names a data centre.
    Site, NameError, take_name
);
text_id!(
    /// Names one append to the decisions on the platform's store.
    AppendId, NameError, take_name
);
