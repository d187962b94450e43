//! Runs entries and agents as processes on the loopback network, injects faults from outside by a seeded
//! plan, and checks the promises from what callers and endpoints see.

mod check;
mod fleet;
mod load;
mod plan;
mod process;
mod proxy;
mod run;

pub use check::{Report, Violation};
pub use plan::{Fault, FaultPlan, ScheduledFault};
pub use run::{SoakError, SoakSettings, soak};
