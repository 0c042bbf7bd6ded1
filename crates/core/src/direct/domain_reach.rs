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
use crate::direct::directory::Target;
use crate::direct::outlier::Availability;
use crate::direct::outlier::Outliers;
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
    /// When each domain came under suspicion. Targets that have started since are none of those that do not answer.
    suspected_since: Map<DomainKey, Timestamp>,
}

impl DomainReach {
    /// Notes that a target of a domain has finished a handshake; tells whether the domain was suspected, so that peers should
    /// hear of it.
    ///
    /// Each instance would else have to find out for itself, and those with few requests would leave the domain idle for long.
    pub fn answered(&mut self, now: Timestamp, target: &Target) -> bool {
        let domain = key(&target.spec.failure_domain);
        let suspected = self.domains.is_suspected(domain);
        if suspected && self.is_newer(domain, target) {
            return false;
        }
        self.forget(domain);
        self.domains.answered(now, domain);
        suspected
    }

    /// Takes over from a peer that a suspected domain has answered.
    pub fn receive_answer(&mut self, now: Timestamp, domain: &str) {
        self.forget(key(domain));
        self.domains.clear(now, key(domain));
    }

    /// Notes that a target of a domain has not finished the handshake of a SYN sent at `sent`.
    ///
    /// Returns for how long to avoid the domain if peers should hear of it.
    pub fn unanswered(&mut self, now: Timestamp, target: &Target, sent: Timestamp) -> Option<Duration> {
        let domain = key(&target.spec.failure_domain);
        if self.last_failed.insert(domain, target.id) == Some(target.id) {
            return None;
        }
        let avoidance = self.domains.unanswered(now, domain, sent)?;
        if self.is_newer(domain, target) {
            self.suspected_since.remove(&domain);
        }
        self.suspected_since.entry(domain).or_insert(now);
        Some(avoidance)
    }

    /// Takes over a peer's suspicion of a domain unless it has just answered here.
    pub fn receive(&mut self, now: Timestamp, domain: &str, avoidance: Duration) {
        let domain = key(domain);
        self.domains.apply_suspicion(now, domain, avoidance);
        if self.domains.is_suspected(domain) {
            self.suspected_since.entry(domain).or_insert(now);
        }
    }

    fn forget(&mut self, domain: DomainKey) {
        self.last_failed.remove(&domain);
        self.suspected_since.remove(&domain);
    }

    /// Tells whether a target has started since its domain came under suspicion.
    fn is_newer(&self, domain: DomainKey, target: &Target) -> bool {
        self.suspected_since.get(&domain).is_some_and(|since| target.known_since > *since)
    }

    /// Notes that a SYN goes to a domain; if the domain is suspected, that SYN is its trial.
    pub fn tried(&mut self, now: Timestamp, domain: &str) {
        self.domains.tried(now, key(domain));
    }

    /// Returns since when a domain has been suspected, if its targets go behind those of others; `mine` tells whether it is this
    /// instance's task to try it again, for the key that stands for it. Targets that started later are not concerned.
    pub fn avoided_since(
        &self,
        now: Timestamp,
        domain: &str,
        handshake_timeout: Duration,
        mine: impl FnOnce(u64) -> bool,
    ) -> Option<Timestamp> {
        let domain = key(domain);
        let suspected = self.domains.is_suspected(domain);
        let avoided = suspected
            && self.domains.availability(now, domain, handshake_timeout, || mine(domain)) != Availability::Available;
        avoided.then(|| self.suspected_since.get(&domain).copied().unwrap_or(now))
    }

    /// Tells whether a domain has answered here so lately that one silent target says nothing of the others.
    #[must_use]
    pub fn answers(&self, now: Timestamp, domain: &str) -> bool {
        self.domains.answered_within(now, key(domain), ANSWERED_LATELY)
    }
}
