//! A hash function whose result does not depend on the machine or the program version.

/// Returns a hash of a sequence of bytes (64-bit FNV-1a followed by a finalizer).
///
/// Entries compare the results with each other, so the algorithm must stay the same in every
/// version.
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
    finalize(bytes.into_iter().fold(OFFSET_BASIS, step))
}

/// Applies the 64-bit finalizer of MurmurHash3, so that every input bit affects every output bit.
fn finalize(hash: u64) -> u64 {
    const FACTORS: [u64; 2] = [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53];
    const SHIFT: u32 = 33;
    let step = |hash: u64, factor: u64| (hash ^ (hash >> SHIFT)).wrapping_mul(factor);
    let folded = FACTORS.into_iter().fold(hash, step);
    folded ^ (folded >> SHIFT)
}
