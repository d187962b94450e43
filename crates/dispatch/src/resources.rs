//! Amounts of processor time, memory and accelerators.

/// Resources that a task requires or an endpoint has.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::{FreeResources, Resources};
///
/// let endpoint = Resources { cpu_millis: 4000, memory_mb: 1024, gpus: 0 };
/// let task = Resources { cpu_millis: 3000, memory_mb: 64, gpus: 0 };
/// let mut free = FreeResources::from_capacity(endpoint);
/// assert!(free.fits(task));
/// free.reserve(task);
/// assert!(!free.fits(task));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub gpus: u32,
}

impl Resources {
    /// Returns whether a task with these requirements fits into an empty endpoint of this size.
    pub fn can_fit(&self, resources: Resources) -> bool {
        resources.cpu_millis <= self.cpu_millis
            && resources.memory_mb <= self.memory_mb
            && resources.gpus <= self.gpus
    }
}

/// Resources that are left; negative if more is requested than there is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FreeResources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: i32,
    /// Memory, in MB.
    pub memory_mb: i32,
    /// Number of accelerators.
    pub gpus: i32,
}

impl FreeResources {
    /// Returns the free resources of an empty endpoint.
    pub fn from_capacity(capacity: Resources) -> Self {
        Self {
            cpu_millis: signed(capacity.cpu_millis),
            memory_mb: signed(capacity.memory_mb),
            gpus: signed(capacity.gpus),
        }
    }

    /// Returns whether a task with these requirements fits.
    pub fn fits(&self, resources: Resources) -> bool {
        signed(resources.cpu_millis) <= self.cpu_millis
            && signed(resources.memory_mb) <= self.memory_mb
            && signed(resources.gpus) <= self.gpus
    }

    /// Subtracts resources; the amounts may become negative.
    pub fn reserve(&mut self, resources: Resources) {
        self.cpu_millis = self.cpu_millis.saturating_sub(signed(resources.cpu_millis));
        self.memory_mb = self.memory_mb.saturating_sub(signed(resources.memory_mb));
        self.gpus = self.gpus.saturating_sub(signed(resources.gpus));
    }

    /// Adds resources that were reserved before.
    pub fn release(&mut self, resources: Resources) {
        self.cpu_millis = self.cpu_millis.saturating_add(signed(resources.cpu_millis));
        self.memory_mb = self.memory_mb.saturating_add(signed(resources.memory_mb));
        self.gpus = self.gpus.saturating_add(signed(resources.gpus));
    }
}

fn signed(amount: u32) -> i32 {
    i32::try_from(amount).unwrap_or(i32::MAX)
}
