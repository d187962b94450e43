//! How a contract's concurrency is divided among entries.

/// Returns the part of a limit that the entry of a rank may use.
///
/// The parts of all ranks add up to the limit.
///
/// # Examples
///
/// ```
/// use cowslipwing_policy::allotment;
///
/// let parts: Vec<u32> = (0..3).map(|rank| allotment(10, rank, 3)).collect();
/// assert_eq!(parts, [4, 3, 3]);
/// ```
pub fn allotment(limit: u32, rank: u32, entries: u32) -> u32 {
    let entries = entries.max(1);
    limit / entries + u32::from(rank < limit % entries)
}
