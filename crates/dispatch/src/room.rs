//! Processor time, memory and accelerators.

/// What a task needs or an endpoint has.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::{FreeRoom, Room};
///
/// let endpoint = Room { cpu_millis: 4000, memory_mb: 1024, gpus: 0 };
/// let task = Room { cpu_millis: 3000, memory_mb: 64, gpus: 0 };
/// let mut free = FreeRoom::of(endpoint);
/// assert!(free.fits(task));
/// free.take(task);
/// assert!(!free.fits(task));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Room {
    /// Thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpus: u32,
}

impl Room {
    /// Tells whether something that needs `need` fits into an empty endpoint of this size.
    pub fn holds(&self, need: Room) -> bool {
        need.cpu_millis <= self.cpu_millis
            && need.memory_mb <= self.memory_mb
            && need.gpus <= self.gpus
    }
}

/// Room left; below zero where more is asked for than there is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FreeRoom {
    /// Thousandths of a core.
    pub cpu_millis: i32,
    /// Memory in MB.
    pub memory_mb: i32,
    /// Accelerators.
    pub gpus: i32,
}

impl FreeRoom {
    /// Returns the room of an empty endpoint.
    pub fn of(room: Room) -> Self {
        Self {
            cpu_millis: signed(room.cpu_millis),
            memory_mb: signed(room.memory_mb),
            gpus: signed(room.gpus),
        }
    }

    /// Tells whether something that needs `need` fits.
    pub fn fits(&self, need: Room) -> bool {
        signed(need.cpu_millis) <= self.cpu_millis
            && signed(need.memory_mb) <= self.memory_mb
            && signed(need.gpus) <= self.gpus
    }

    /// Takes room away.
    pub fn take(&mut self, need: Room) {
        self.cpu_millis = self.cpu_millis.saturating_sub(signed(need.cpu_millis));
        self.memory_mb = self.memory_mb.saturating_sub(signed(need.memory_mb));
        self.gpus = self.gpus.saturating_sub(signed(need.gpus));
    }

    /// Gives room back.
    pub fn give(&mut self, need: Room) {
        self.cpu_millis = self.cpu_millis.saturating_add(signed(need.cpu_millis));
        self.memory_mb = self.memory_mb.saturating_add(signed(need.memory_mb));
        self.gpus = self.gpus.saturating_add(signed(need.gpus));
    }
}

fn signed(amount: u32) -> i32 {
    i32::try_from(amount).unwrap_or(i32::MAX)
}
