//! Which instances have come and gone since the last log line.
//!
//! A whole fleet that starts or dies brings a change for each member at each instance. A line for each would be most of
//! what is written in just the seconds that an engineer wants to read, so there is one a second that sums them up.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Timestamp;
use hawthornshift_model::InstanceId;

/// Shortest time between two lines.
const LINE_PERIOD: Duration = Duration::from_secs(1);

/// Changes of who serves between two log lines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeSummary {
    /// How many instances served at the last line.
    pub before: usize,
    /// How many serve now.
    pub serving: usize,
    /// Those that serve now and did not then.
    pub joined: Vec<InstanceId>,
    /// Those that served then and do not now.
    pub left: Vec<InstanceId>,
}

/// Who served when the last line was written, and who does now.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    logged: BTreeSet<InstanceId>,
    serving: BTreeSet<InstanceId>,
    next_line: Timestamp,
}

impl ChangeLog {
    /// Notes who serves.
    pub fn note(&mut self, serving: &[InstanceId]) {
        self.serving = serving.iter().copied().collect();
    }

    /// Returns what to write now, if there is anything and a line may be written.
    pub fn due(&mut self, now: Timestamp) -> Option<ChangeSummary> {
        if now < self.next_line || self.logged == self.serving {
            return None;
        }
        self.next_line = now + LINE_PERIOD;
        let before = std::mem::replace(&mut self.logged, self.serving.clone());
        Some(ChangeSummary {
            before: before.len(),
            serving: self.serving.len(),
            joined: self.serving.difference(&before).copied().collect(),
            left: before.difference(&self.serving).copied().collect(),
        })
    }
}
