//! Types that all crates share: ids, quantities with units, and the clock.

mod clock;
mod hash;
mod id;
mod key;
mod number;
mod quantity;
mod sorted;

pub use clock::{Clock, ManualClock, SystemClock, from_millis, to_millis};
pub use hash::stable_hash;
pub use id::{
    AppendId, BatchName, CustomerName, EndpointName, EntryId, Incarnation, NameError, Site,
};
pub use key::{JobId, JobKey, KeyError, TaskId};
pub use number::{Epoch, MemberVersion, NumberError, Offset, RANGES, RangeId, TaskIndex, Version};
pub use quantity::{ByteSize, Percent, QuantityError, parse_duration};
pub use sorted::{SortedMap, insert_sorted};
