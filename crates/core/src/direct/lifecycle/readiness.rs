//! Decides whether the network fabric should send callers' packets to this instance.
//!
//! An instance in a failure domain that is disconnected from the others, and whose own targets are evacuated or dead,
//! cannot serve any caller, while instances elsewhere can. As long as it reports that it is ready, its callers wait
//! for answers that cannot arrive. Once it reports that it is not, the fabric sends them to the nearest failure
//! domain.
//!
//! Whether other failure domains are reachable is known from the handshakes of their targets as long as flows are
//! placed there, and from messages of their instances. The latter are needed because an instance that receives no
//! flows has no handshakes to rely on, and would never detect that the network partition has healed.

use std::time::Duration;

use strum::Display;

use crate::Timestamp;
use crate::direct::store::directory::Directory;
use crate::direct::targets::outlier::Availability;
use crate::direct::targets::outlier::Outliers;

/// Time without a message from any instance in other failure domains after which those domains count as out of reach.
///
/// An instance pings four members per second and is pinged as often, and most of these members are in other domains.
/// By chance, about once in a dozen intervals of this length all of them are in its own domain. The handshakes of
/// targets in other domains decide then.
pub const REMOTE_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Longest time for which an instance reports that it is not ready because other domains are out of reach. Network
/// partitions last for seconds. If all instances elsewhere are dead while the targets there are alive, only flows can
/// show it.
const MAX_UNREADY_TIME: Duration = Duration::from_secs(10);
/// Time for which the instance then reports that it is ready regardless. This covers two readiness probes of the
/// fabric and some handshakes.
const READY_TRIAL_TIME: Duration = Duration::from_secs(2);

/// Whether an instance is ready for callers, and the reason if it is not.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Readiness {
    /// Callers can be served.
    Ready,
    /// The configuration and the targets have not been received completely yet.
    #[strum(serialize = "not-whole")]
    NotSynced,
    /// No target that may be used is reachable from this instance.
    NoTargetInReach,
    /// The directory has been behind those of the peers for too long to place new flows.
    DirectoryBehind,
}

/// Inputs of the readiness decision.
#[derive(Clone, Copy, Debug)]
pub struct ReadinessInputs<'a> {
    /// The known targets.
    pub directory: &'a Directory,
    /// The targets that appear unresponsive.
    pub outliers: &'a Outliers,
    /// The failure domain of this instance.
    pub domain: &'a str,
    /// Handshake timeout, which determines how long a trial of an avoided target takes.
    pub handshake_timeout: Duration,
}

impl ReadinessInputs<'_> {
    /// Returns the readiness of this instance. `others_in_reach` states whether other failure domains are reachable.
    ///
    /// If no instance at all could serve, because no target is listed or all are evacuated, this instance remains
    /// ready. Callers then get a reset at once instead of no response.
    #[must_use]
    pub fn readiness(&self, now: Timestamp, others_in_reach: bool) -> Readiness {
        if !self.directory.is_synced() {
            return Readiness::NotSynced;
        }
        if others_in_reach {
            return Readiness::Ready;
        }
        let mut any_elsewhere = false;
        for target in self.directory.all_candidates(now) {
            if target.spec.failure_domain != self.domain {
                any_elsewhere = true;
                if self.outliers.answered_within(now, target.id, REMOTE_SILENCE_LIMIT) {
                    return Readiness::Ready;
                }
            } else if self.outliers.availability(now, target.id, self.handshake_timeout, || true)
                != Availability::Unresponsive
            {
                return Readiness::Ready;
            }
        }
        if any_elsewhere { Readiness::NoTargetInReach } else { Readiness::Ready }
    }
}

/// Limits the time for which an instance reports that it has no reachable target.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnreadyLimit {
    unready_since: Option<Timestamp>,
    trial_until: Timestamp,
}

impl UnreadyLimit {
    /// Returns the readiness to report, given the one that was just determined.
    pub fn apply(&mut self, now: Timestamp, current: Readiness) -> Readiness {
        if current != Readiness::NoTargetInReach {
            self.unready_since = None;
            return current;
        }
        if now < self.trial_until {
            return Readiness::Ready;
        }
        let unready_since = *self.unready_since.get_or_insert(now);
        if now.saturating_sub(unready_since) < MAX_UNREADY_TIME {
            return current;
        }
        self.unready_since = None;
        self.trial_until = now + READY_TRIAL_TIME;
        Readiness::Ready
    }
}
