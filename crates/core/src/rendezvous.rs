//! Rendezvous (highest random weight) hashing.
//!
//! Every instance ranks the same candidates for the same key alike, without any message. When a candidate goes, only
//! the keys it had ranked first for move; when one comes, only those that now rank it first.

/// Mixes a key and a candidate's seed into the candidate's score for that key.
#[must_use]
pub fn score(key: u64, seed: u64) -> u64 {
    // The finaliser of SplitMix64: two multiplications, full avalanche.
    let mut x = key ^ seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// Returns the candidate that ranks first for `key`; on equal scores the one with the greater seed.
pub fn pick<T: Copy>(key: u64, candidates: impl IntoIterator<Item = T>, seed: impl Fn(T) -> u64) -> Option<T> {
    candidates.into_iter().max_by_key(|&candidate| (score(key, seed(candidate)), seed(candidate)))
}

/// Returns the candidate that ranks first for `key` when each wins a share of the keys equal to its weight.
///
/// Candidates of weight zero never win.
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

/// Maps a hash to the open interval from 0 to 1, by its upper 32 bits.
fn unit_interval(hash: u64) -> f64 {
    let upper = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    (f64::from(upper) + 0.5) / (f64::from(u32::MAX) + 1.0)
}
