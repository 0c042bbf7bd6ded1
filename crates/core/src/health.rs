//! Status of targets that another instance coordinates, as known to this instance.
//!
//! A target's coordinator runs its health checks and observes its answers. The other instances of the failure domain,
//! which send flows to the target, learn its status from heartbeats. A status is only a hint and expires: without a
//! recent update the target counts as usable.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;

use crate::Timestamp;
use crate::maps::FixedHashMap;
use hawthornshift_model::TargetId;

/// Status of a target.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TargetStatus {
    /// It takes its full load.
    Warm,
    /// It is in slow start and takes only part of its full load.
    Cold,
    /// It does not respond.
    Down,
    /// It takes no new work.
    Leaving,
}

/// Status of a target as observed by its coordinator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetStatusUpdate {
    /// The target.
    pub target: TargetId,
    /// Its status.
    pub status: TargetStatus,
}

/// Age after which a status expires.
const STATUS_TTL: Timestamp = Timestamp::from_secs(15);

/// Latest status of each target, with the time at which it arrived.
#[derive(Clone, Debug, Default)]
pub struct TargetStatusCache {
    statuses: FixedHashMap<TargetId, (TargetStatus, Timestamp)>,
}

impl TargetStatusCache {
    /// Records an update and returns whether it changes the known status.
    pub fn record(&mut self, now: Timestamp, update: TargetStatusUpdate) -> bool {
        let before = self.statuses.insert(update.target, (update.status, now));
        before.map(|(status, _)| status) != Some(update.status)
    }

    /// Returns a target's status, or `None` without a recent update.
    #[must_use]
    pub fn status(&self, now: Timestamp, target: TargetId) -> Option<TargetStatus> {
        let (status, at) = self.statuses.get(&target)?;
        (now.saturating_sub(*at) < STATUS_TTL).then_some(*status)
    }

    /// Removes expired statuses.
    pub fn expire(&mut self, now: Timestamp) {
        self.statuses.retain(|_, (_, at)| now.saturating_sub(*at) < STATUS_TTL);
    }
}
