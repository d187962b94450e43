//! Classes of queue priority.

/// Number of priority classes; the last one holds all higher numbers.
pub const PRIORITY_CLASSES: usize = 4;

/// Returns the class of a priority; 0 is the most urgent.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::{PRIORITY_CLASSES, priority_class};
///
/// assert_eq!(priority_class(0), 0);
/// assert_eq!(priority_class(90), PRIORITY_CLASSES - 1);
/// ```
pub fn priority_class(priority: u32) -> usize {
    usize::try_from(priority).unwrap_or(usize::MAX).min(PRIORITY_CLASSES - 1)
}

/// Thousandths of a core in use or requested, by priority class.
///
/// # Examples
///
/// ```
/// use cowslipwing_dispatch::CpuByPriority;
///
/// let mut cpu = CpuByPriority::default();
/// cpu.add(0, 1300);
/// cpu.add(7, 2600);
/// assert_eq!(cpu.classes, [1300, 0, 0, 2600]);
/// assert_eq!(cpu.total(), 3900);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CpuByPriority {
    /// Amount for each class, most urgent first.
    pub classes: [u32; PRIORITY_CLASSES],
}

impl CpuByPriority {
    /// Adds a task of a queue with this priority.
    pub fn add(&mut self, priority: u32, cpu_millis: u32) {
        let class = &mut self.classes[priority_class(priority)];
        *class = class.saturating_add(cpu_millis);
    }

    /// Returns the amount for all classes.
    pub fn total(&self) -> u32 {
        self.classes.iter().fold(0, |sum, cpu_millis| sum.saturating_add(*cpu_millis))
    }
}
