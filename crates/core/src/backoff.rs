//! Exponential backoff.

use std::time::Duration;

/// Maximum number of doublings. More would reach every limit in use anyway, and the factor still fits in its type.
const MAX_DOUBLINGS: u32 = 16;

/// Returns `initial` doubled `doublings` times, up to `max`.
#[must_use]
pub(crate) fn exponential_backoff(initial: Duration, doublings: u32, max: Duration) -> Duration {
    initial.saturating_mul(1 << doublings.min(MAX_DOUBLINGS)).min(max)
}
