//! Types that all crates share: ids, quantities with units, and the clock.
//!
//! An entry accepts jobs from callers. An agent runs next to an endpoint and starts tasks on it.
//! The jobs are partitioned into ranges, and each range is owned by one entry at a time. The
//! entries append contracts, changes of the member set (the entries in service) and changes of
//! owner to the log of decisions on the platform's store; each entry derives its state from that
//! log.

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
