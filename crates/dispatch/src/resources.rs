//! Processor time, memory and accelerators.

/// What a task needs or an endpoint has.
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
    /// Thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpus: u32,
}

impl Resources {
    /// Tells whether something that needs `need` fits into an empty endpoint of this size.
    pub fn can_fit(&self, need: Resources) -> bool {
        need.cpu_millis <= self.cpu_millis
            && need.memory_mb <= self.memory_mb
            && need.gpus <= self.gpus
    }
}

/// Resources left; below zero where more is asked for than there is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FreeResources {
    /// Thousandths of a core.
    pub cpu_millis: i32,
    /// Memory in MB.
    pub memory_mb: i32,
    /// Accelerators.
    pub gpus: i32,
}

impl FreeResources {
    /// Returns the room of an empty endpoint.
    pub fn from_capacity(room: Resources) -> Self {
        Self {
            cpu_millis: signed(room.cpu_millis),
            memory_mb: signed(room.memory_mb),
            gpus: signed(room.gpus),
        }
    }

    /// Tells whether something that needs `need` fits.
    pub fn fits(&self, need: Resources) -> bool {
        signed(need.cpu_millis) <= self.cpu_millis
            && signed(need.memory_mb) <= self.memory_mb
            && signed(need.gpus) <= self.gpus
    }

    /// Takes room away.
    pub fn reserve(&mut self, need: Resources) {
        self.cpu_millis = self.cpu_millis.saturating_sub(signed(need.cpu_millis));
        self.memory_mb = self.memory_mb.saturating_sub(signed(need.memory_mb));
        self.gpus = self.gpus.saturating_sub(signed(need.gpus));
    }

    /// Gives room back.
    pub fn release(&mut self, need: Resources) {
        self.cpu_millis = self.cpu_millis.saturating_add(signed(need.cpu_millis));
        self.memory_mb = self.memory_mb.saturating_add(signed(need.memory_mb));
        self.gpus = self.gpus.saturating_add(signed(need.gpus));
    }
}

fn signed(amount: u32) -> i32 {
    i32::try_from(amount).unwrap_or(i32::MAX)
}
