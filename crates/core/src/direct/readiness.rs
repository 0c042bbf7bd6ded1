//! Whether the fabric should hand callers' packets to this instance.
//!
//! An instance in a failure domain that is cut off from the others, and whose own targets are taken out or dead, cannot
//! serve anybody, while instances elsewhere can. As long as it says that it is ready its callers wait for answers that
//! cannot come; once it says that it is not, the fabric hands them to the nearest failure domain.
//!
//! Whether other failure domains can be reached is told by their targets as long as flows go there, and by their instances
//! besides: an instance that gets no flows has no handshakes to judge by, and would never find out that the cut is over.

use std::time::Duration;

use strum::Display;

use crate::Timestamp;
use crate::direct::directory::Directory;
use crate::direct::outlier::Availability;
use crate::direct::outlier::Outliers;

/// Silence of all instances of other failure domains after which those domains count as out of reach.
///
/// An instance pings four members a second and is pinged as often, most of them elsewhere. By chance alone all may be near
/// ones in this time, once in some dozen; the handshakes of targets elsewhere tell then.
pub const REMOTE_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Longest time for which an instance asks for no callers because of what it does not hear. Cuts last for seconds; and if
/// all instances elsewhere are dead while the targets there live, only flows can show it.
const LONGEST_REFUSAL: Duration = Duration::from_secs(10);
/// Time for which it then asks for callers whatever it hears: two questions of the fabric and some handshakes.
const TRIAL: Duration = Duration::from_secs(2);

/// Why an instance asks for callers, or for none.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Readiness {
    /// Callers can be served.
    Ready,
    /// The configuration and the targets are not known yet.
    #[strum(serialize = "not-whole")]
    NotSynced,
    /// No target that may be used can be reached from here.
    NoTargetInReach,
}

/// What readiness rests on.
#[derive(Clone, Copy, Debug)]
pub struct ReadinessInputs<'a> {
    /// The targets.
    pub directory: &'a Directory,
    /// Which of them seem not to answer.
    pub outliers: &'a Outliers,
    /// The failure domain of this instance.
    pub domain: &'a str,
    /// Handshake timeout, for trials of avoided targets.
    pub handshake_timeout: Duration,
}

impl ReadinessInputs<'_> {
    /// Tells whether callers should be sent here, by whether other failure domains can be reached.
    ///
    /// Where no instance at all could serve, since nothing is listed or all is taken out, this one stays ready: callers
    /// then get a reset at once, which is better than silence.
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

/// Keeps an instance from refusing callers for good by what it does not hear.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnreadyLimit {
    since: Option<Timestamp>,
    trial_until: Timestamp,
}

impl UnreadyLimit {
    /// Returns what to tell the fabric, by what was judged just now.
    pub fn apply(&mut self, now: Timestamp, judged: Readiness) -> Readiness {
        if judged != Readiness::NoTargetInReach {
            self.since = None;
            return judged;
        }
        if now < self.trial_until {
            return Readiness::Ready;
        }
        let since = *self.since.get_or_insert(now);
        if now.saturating_sub(since) < LONGEST_REFUSAL {
            return judged;
        }
        self.since = None;
        self.trial_until = now + TRIAL;
        Readiness::Ready
    }
}
