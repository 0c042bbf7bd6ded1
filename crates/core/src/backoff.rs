//! Exponential backoff.

use std::time::Duration;

/// Most doublings: beyond them every limit in use is reached, and the factor still fits its type.
const MAX_DOUBLINGS: u32 = 16;

/// Returns a time that begins at `first` and is doubled so many times, up to `longest`.
#[must_use]
pub(crate) fn doubled(first: Duration, times: u32, longest: Duration) -> Duration {
    first.saturating_mul(1 << times.min(MAX_DOUBLINGS)).min(longest)
}
