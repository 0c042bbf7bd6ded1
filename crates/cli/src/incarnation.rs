//! Incarnation number of a process.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthornshift_model::Incarnation;

/// Returns the incarnation of this process: the current time in milliseconds since the Unix epoch.
///
/// A later process has a higher incarnation unless the machine's clock is set back by more than the time between the
/// two starts.
pub(crate) fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation::try_from(since_epoch.as_millis()).unwrap_or(Incarnation::MAX)
}
