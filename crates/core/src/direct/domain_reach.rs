//! Failure domains whose targets seem to be out of reach all together.
//!
//! The load that this answers: a failure domain loses power or is cut off, and its targets stay listed for seconds. With
//! many targets and few requests for each, an instance that judges each target by itself tries one dead target after the
//! other. So handshakes that are not finished count against the target's domain as well, unless the domain has answered
//! since; what an instance finds out is told to its group.
//!
//! A domain is judged like a target, by the rules of [`outlier`](crate::direct::outlier): a suspicion only puts its targets
//! behind others, ages, and ends with the first answer.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::Timestamp;
use crate::direct::outlier::Outliers;
use crate::direct::outlier::Trust;
use crate::maps::Map;
use hawthornshift_model::TargetId;

/// Time for which an answer from a domain shows that one target's silence is its own.
const ANSWERED_LATELY: Duration = Duration::from_millis(200);

/// Number that stands for a failure domain among [`Outliers`].
type DomainKey = u64;

fn key(domain: &str) -> DomainKey {
    xxh3_64(domain.as_bytes())
}

/// What handshakes have shown of each failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainReach {
    domains: Outliers,
    /// Target whose handshake was not finished last: it counts once, however often it is tried.
    last_failed: Map<DomainKey, TargetId>,
}

impl DomainReach {
    /// Notes that a target of a domain has finished a handshake; tells whether the domain was suspected, so that peers should
    /// hear of it.
    ///
    /// Each instance would else have to find out for itself, and those with few requests would leave the domain idle for long.
    pub fn answered(&mut self, now: Timestamp, domain: &str) -> bool {
        let domain = key(domain);
        let suspected = self.domains.is_suspected(domain);
        self.last_failed.remove(&domain);
        self.domains.answered(now, domain);
        suspected
    }

    /// Takes over from a peer that a suspected domain has answered.
    pub fn hear_answer(&mut self, now: Timestamp, domain: &str) {
        self.domains.clear(now, key(domain));
    }

    /// Notes that a target of a domain has not finished the handshake of a SYN sent at `sent`.
    ///
    /// Returns for how long to avoid the domain if peers should hear of it.
    pub fn unanswered(&mut self, now: Timestamp, domain: &str, target: TargetId, sent: Timestamp) -> Option<Duration> {
        let domain = key(domain);
        if self.last_failed.insert(domain, target) == Some(target) {
            return None;
        }
        self.domains.unanswered(now, domain, sent)
    }

    /// Takes over a peer's suspicion of a domain unless it has just answered here.
    pub fn hear(&mut self, now: Timestamp, domain: &str, avoidance: Duration) {
        self.domains.hear(now, key(domain), avoidance);
    }

    /// Notes that a SYN goes to a domain; if the domain is suspected, that SYN is its trial.
    pub fn tried(&mut self, now: Timestamp, domain: &str) {
        self.domains.tried(now, key(domain));
    }

    /// Tells whether targets of a domain go behind those of others; `mine` tells whether it is this instance's task to try
    /// it again, for the key that stands for it.
    pub fn is_doubted(
        &self,
        now: Timestamp,
        domain: &str,
        handshake_timeout: Duration,
        mine: impl FnOnce(u64) -> bool,
    ) -> bool {
        let domain = key(domain);
        self.domains.is_suspected(domain)
            && self.domains.trust(now, domain, handshake_timeout, || mine(domain)) != Trust::Full
    }

    /// Tells whether a domain has answered here so lately that one silent target says nothing of the others.
    #[must_use]
    pub fn answers(&self, now: Timestamp, domain: &str) -> bool {
        self.domains.answered_within(now, key(domain), ANSWERED_LATELY)
    }
}
