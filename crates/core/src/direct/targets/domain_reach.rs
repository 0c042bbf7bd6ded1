//! Finds failure domains whose targets all appear to be out of reach.
//!
//! The expected fault: a failure domain loses power or is disconnected, and its targets remain listed for seconds.
//! With many targets and few requests for each, an instance that evaluates each target on its own would try one dead
//! target after another. Handshakes that are not completed therefore also count against the target's failure domain,
//! unless the domain has responded since. Each instance reports its findings to its group.
//!
//! Failure domains follow the same rules as targets in [`outlier`](crate::direct::targets::outlier): a suspicion only ranks
//! the domain's targets behind others, expires, and ends with the first completed handshake.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::Timestamp;
use crate::direct::store::directory::Target;
use crate::direct::targets::outlier::Availability;
use crate::direct::targets::outlier::Outliers;
use crate::maps::FixedHashMap;
use hawthornshift_model::TargetId;

/// Time after a completed handshake in a failure domain during which an unresponsive target does not count against
/// the others of the domain.
const RECENT_ANSWER_AGE: Duration = Duration::from_millis(200);

/// Hash of a failure domain's name, which identifies it in [`Outliers`].
type DomainKey = u64;

fn domain_key(domain: &str) -> DomainKey {
    xxh3_64(domain.as_bytes())
}

/// Handshake history of all failure domains.
#[derive(Clone, Debug, Default)]
pub struct DomainReach {
    domains: Outliers,
    /// Target whose handshake last failed. Consecutive failures of one target count once.
    last_failed: FixedHashMap<DomainKey, TargetId>,
    /// When each domain became suspected. Targets that have started since are not among the unresponsive ones.
    suspected_since: FixedHashMap<DomainKey, Timestamp>,
}

impl DomainReach {
    /// Records that a target of a domain has completed a handshake. Returns whether the domain was suspected, so that
    /// peers should be notified.
    ///
    /// Otherwise each instance would have to find out on its own, and those with few requests would leave the domain
    /// idle for long.
    pub fn answered(&mut self, now: Timestamp, target: &Target) -> bool {
        let domain = domain_key(&target.spec.failure_domain);
        let suspected = self.domains.is_suspected(domain);
        if suspected && self.is_newer(domain, target) {
            return false;
        }
        self.clear_suspicion(domain);
        self.domains.handshake_completed(now, domain);
        suspected
    }

    /// Records a peer's report that a suspected domain has responded.
    pub fn receive_answer(&mut self, now: Timestamp, domain: &str) {
        self.clear_suspicion(domain_key(domain));
        self.domains.clear(now, domain_key(domain));
    }

    /// Records that a target of a domain has not completed the handshake of a SYN sent at `sent`.
    ///
    /// Returns the time for which to avoid the domain if peers should be notified.
    pub fn unanswered(&mut self, now: Timestamp, target: &Target, sent: Timestamp) -> Option<Duration> {
        let domain = domain_key(&target.spec.failure_domain);
        if self.last_failed.insert(domain, target.id) == Some(target.id) {
            return None;
        }
        let avoidance = self.domains.handshake_failed(now, domain, sent)?;
        if self.is_newer(domain, target) {
            self.suspected_since.remove(&domain);
        }
        self.suspected_since.entry(domain).or_insert(now);
        Some(avoidance)
    }

    /// Applies a suspicion of a domain reported by a peer, unless the domain has just responded to this instance.
    pub fn apply_suspicion(&mut self, now: Timestamp, domain: &str, avoidance: Duration) {
        let domain = domain_key(domain);
        self.domains.apply_suspicion(now, domain, avoidance);
        if self.domains.is_suspected(domain) {
            self.suspected_since.entry(domain).or_insert(now);
        }
    }

    /// Drops the suspicions that no failed handshake and no report has renewed for long.
    pub fn expire(&mut self, now: Timestamp) {
        self.domains.expire(now);
        self.suspected_since.retain(|domain, _| self.domains.is_suspected(*domain));
    }

    fn clear_suspicion(&mut self, domain: DomainKey) {
        self.last_failed.remove(&domain);
        self.suspected_since.remove(&domain);
    }

    /// Returns whether a target has started since its domain became suspected.
    fn is_newer(&self, domain: DomainKey, target: &Target) -> bool {
        self.suspected_since.get(&domain).is_some_and(|since| target.known_since > *since)
    }

    /// Records that a SYN is sent to a domain. If the domain is suspected, the SYN is its trial.
    pub fn tried(&mut self, now: Timestamp, domain: &str) {
        self.domains.tried(now, domain_key(domain));
    }

    /// Returns when a domain became suspected, if its targets are currently ranked behind those of others.
    /// `is_retry_owner` returns whether this instance is responsible for trying the domain with the given key again.
    /// Targets that started later are not affected.
    pub fn avoided_since(
        &self,
        now: Timestamp,
        domain: &str,
        handshake_timeout: Duration,
        is_retry_owner: impl FnOnce(u64) -> bool,
    ) -> Option<Timestamp> {
        let domain = domain_key(domain);
        let suspected = self.domains.is_suspected(domain);
        let avoided = suspected
            && self.domains.availability(now, domain, handshake_timeout, || is_retry_owner(domain))
                != Availability::Available;
        avoided.then(|| self.suspected_since.get(&domain).copied().unwrap_or(now))
    }

    /// Returns whether a domain has responded to this instance so recently that one unresponsive target does not
    /// indicate anything about the others.
    #[must_use]
    pub fn answers(&self, now: Timestamp, domain: &str) -> bool {
        self.domains.answered_within(now, domain_key(domain), RECENT_ANSWER_AGE)
    }
}
