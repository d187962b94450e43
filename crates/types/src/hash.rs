//! A hash that is the same on every machine and in every version.

/// Returns a hash of bytes (64-bit FNV-1a with a final mix).
///
/// # Examples
///
/// ```
/// use cowslipwing_types::stable_hash;
///
/// assert_eq!(stable_hash(*b"range"), stable_hash(*b"range"));
/// assert_ne!(stable_hash(*b"range"), stable_hash(*b"rank"));
/// ```
pub fn stable_hash<I>(bytes: I) -> u64
where
    I: IntoIterator<Item = u8>,
{
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    mix(bytes.into_iter().fold(OFFSET_BASIS, step))
}

/// Spreads every bit of the input over the output.
fn mix(hash: u64) -> u64 {
    const FACTORS: [u64; 2] = [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53];
    const SHIFT: u32 = 33;
    let step = |hash: u64, factor: u64| (hash ^ (hash >> SHIFT)).wrapping_mul(factor);
    let mixed = FACTORS.into_iter().fold(hash, step);
    mixed ^ (mixed >> SHIFT)
}
