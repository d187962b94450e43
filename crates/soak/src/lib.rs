//! A soak test: runs entries and agents as processes on the loopback network, injects faults into
//! them by a plan that is generated from a seed, and checks the guarantees from the replies that
//! callers receive and the runs that endpoints record.

mod check;
mod cluster;
mod crowd;
mod load;
mod plan;
mod process;
mod proxy;
mod run;

pub use check::{Report, Violation};
pub use plan::{Fault, FaultPlan, ScheduledFault};
pub use run::{SoakError, SoakSettings, soak};
