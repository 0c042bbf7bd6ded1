//! Rendezvous (highest random weight) hashing.
//!
//! Every instance ranks the same candidates for a key in the same order, without communication. When a candidate is
//! removed, only the keys that ranked it first move; when one is added, only the keys that now rank it first move.

/// Returns a candidate's score for a key, computed from the key and the candidate's seed.
#[must_use]
pub fn score(key: u64, seed: u64) -> u64 {
    // SplitMix64 finalizer: two multiplications, full avalanche.
    let mut x = key ^ seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// Returns the candidate with the highest score for `key`; ties are broken in favor of the greater seed. `None` if
/// there are no candidates.
pub fn pick<T: Copy>(key: u64, candidates: impl IntoIterator<Item = T>, seed: impl Fn(T) -> u64) -> Option<T> {
    candidates.into_iter().max_by_key(|&candidate| (score(key, seed(candidate)), seed(candidate)))
}

/// Returns the candidate that ranks first for `key`, where each candidate is first for a share of the keys proportional
/// to its weight.
///
/// Candidates of weight zero are never returned. Each candidate is its value, its seed and its weight.
pub fn pick_weighted<T: Copy>(key: u64, candidates: impl IntoIterator<Item = (T, u64, u32)>) -> Option<T> {
    let mut best: Option<(f64, T)> = None;
    for (candidate, seed, weight) in candidates {
        if weight == 0 {
            continue;
        }
        let rank = f64::from(weight) / -unit_interval(score(key, seed)).ln();
        if best.is_none_or(|(top, _)| rank > top) {
            best = Some((rank, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Maps a hash to the open interval (0, 1), using its upper 32 bits.
fn unit_interval(hash: u64) -> f64 {
    let upper = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    (f64::from(upper) + 0.5) / (f64::from(u32::MAX) + 1.0)
}
