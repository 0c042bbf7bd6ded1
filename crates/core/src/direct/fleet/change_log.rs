//! Rate-limited summary of membership changes for the log.
//!
//! When a whole fleet starts or fails, every instance sees a change for each member. One log line per change would
//! flood the log exactly when an engineer needs to read it, so at most one line per second sums them up.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Timestamp;
use hawthornshift_model::InstanceId;

/// Minimum time between two log lines.
const MIN_LOG_PERIOD: Duration = Duration::from_secs(1);

/// Changes to the set of serving instances since the previous log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeSummary {
    /// Number of instances that served at the previous log line.
    pub before: usize,
    /// Number of instances that serve now.
    pub serving: usize,
    /// Instances that serve now but did not at the previous log line.
    pub joined: Vec<InstanceId>,
    /// Instances that served at the previous log line but no longer do.
    pub left: Vec<InstanceId>,
}

/// The serving instances as last logged and as currently known.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    logged: BTreeSet<InstanceId>,
    serving: BTreeSet<InstanceId>,
    next_line: Timestamp,
}

impl ChangeLog {
    /// Records the instances that serve now.
    pub fn record(&mut self, serving: &[InstanceId]) {
        self.serving = serving.iter().copied().collect();
    }

    /// Returns the changes to log, or `None` if nothing changed or the previous line was logged less than a second ago.
    pub fn due(&mut self, now: Timestamp) -> Option<ChangeSummary> {
        if now < self.next_line || self.logged == self.serving {
            return None;
        }
        self.next_line = now + MIN_LOG_PERIOD;
        let before = std::mem::replace(&mut self.logged, self.serving.clone());
        Some(ChangeSummary {
            before: before.len(),
            serving: self.serving.len(),
            joined: self.serving.difference(&before).copied().collect(),
            left: before.difference(&self.serving).copied().collect(),
        })
    }
}
