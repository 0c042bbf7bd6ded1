//! What this instance believes of targets that another instance keeps.
//!
//! A target's keeper probes it and sees its answers; the other instances of the failure domain, which send flows
//! there, learn of it by heartbeats. News is a hint with an age: without fresh news a target counts as usable.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;

use crate::Timestamp;
use crate::maps::Map;
use hawthornshift_model::TargetId;

/// State of a target.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TargetStatus {
    /// It bears its full load.
    Warm,
    /// It bears only part of it.
    Cold,
    /// It does not answer.
    Down,
    /// It takes nothing new.
    Leaving,
}

/// State of a target as its keeper sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetStatusUpdate {
    /// The target.
    pub target: TargetId,
    /// Its state.
    pub status: TargetStatus,
}

/// Age at which news of a target no longer counts.
const NEWS_LIFE: Timestamp = Timestamp::from_secs(15);

/// News of targets, each with the time it came.
#[derive(Clone, Debug, Default)]
pub struct TargetStatusCache {
    news: Map<TargetId, (TargetStatus, Timestamp)>,
}

impl TargetStatusCache {
    /// Notes news; returns whether it changes what was believed.
    pub fn note(&mut self, now: Timestamp, news: TargetStatusUpdate) -> bool {
        let before = self.news.insert(news.target, (news.status, now));
        before.map(|(status, _)| status) != Some(news.status)
    }

    /// Returns a target's state as far as fresh news tells.
    #[must_use]
    pub fn status(&self, now: Timestamp, target: TargetId) -> Option<TargetStatus> {
        let (status, at) = self.news.get(&target)?;
        (now.saturating_sub(*at) < NEWS_LIFE).then_some(*status)
    }

    /// Forgets news that no longer counts.
    pub fn expire(&mut self, now: Timestamp) {
        self.news.retain(|_, (_, at)| now.saturating_sub(*at) < NEWS_LIFE);
    }
}
