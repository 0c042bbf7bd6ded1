//! The number of a process's life.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hawthornshift_model::Incarnation;

/// Returns the number of this life: later lives have higher ones as long as the machine's clock is not set back by
/// more than the time between them.
pub(crate) fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation::try_from(since_epoch.as_millis()).unwrap_or(Incarnation::MAX)
}
