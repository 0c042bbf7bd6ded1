//! Times and limits that the decisions of a node depend on, checked once at the start.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Times and limits of a node, set with builder methods and checked by [`Tuning::checked`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    pub(crate) ping_period: Duration,
    pub(crate) ping_timeout: Duration,
    pub(crate) suspicion: Duration,
    pub(crate) lease: Duration,
    pub(crate) view_memory: Duration,
    pub(crate) flow_capacity: usize,
    pub(crate) drain: Duration,
    pub(crate) ticket_life: Duration,
    pub(crate) answer_bytes: usize,
    pub(crate) queue_per_slot: usize,
    pub(crate) platform_fallback: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            ping_period: Duration::from_millis(400),
            ping_timeout: Duration::from_millis(250),
            suspicion: Duration::from_millis(1_600),
            lease: Duration::from_millis(1_500),
            view_memory: Duration::from_secs(30),
            flow_capacity: 500_000,
            drain: Duration::from_secs(30),
            ticket_life: Duration::from_mins(10),
            answer_bytes: 32 << 20,
            queue_per_slot: 4,
            platform_fallback: Duration::from_secs(30),
        }
    }
}

/// Error for inconsistent times or limits.
#[derive(Debug, Error)]
pub enum TuningError {
    /// A time or limit is zero.
    #[error("{0} must not be zero")]
    Zero(&'static str),
    /// The lease is not shorter than the suspicion time. A paused instance could then still act on targets that other
    /// instances have taken over.
    #[error("the lease ({lease:?}) must be shorter than the suspicion time ({suspicion:?})")]
    LeaseTooLong {
        /// The configured lease.
        lease: Duration,
        /// The configured suspicion time.
        suspicion: Duration,
    },
    /// The ping timeout is not shorter than the ping period. A ping would then time out after the next one is due.
    #[error("the ping timeout ({timeout:?}) must be shorter than the ping period ({period:?})")]
    TimeoutTooLong {
        /// The configured ping timeout.
        timeout: Duration,
        /// The configured ping period.
        period: Duration,
    },
}

/// Generates one builder method per field.
macro_rules! setters {
    ($($(#[$doc:meta])* $field:ident: $type:ty,)*) => {
        $(
            $(#[$doc])*
            #[must_use]
            pub fn $field(mut self, value: $type) -> Self {
                self.$field = value;
                self
            }
        )*
    };
}

impl Tuning {
    setters! {
        /// Sets the time between two pings; each goes to one peer.
        ping_period: Duration,
        /// Sets the time to wait for the acknowledgement of a ping before other instances are requested to ping the
        /// peer.
        ping_timeout: Duration,
        /// Sets the time for which a peer that does not respond stays suspect before it is declared dead.
        suspicion: Duration,
        /// Sets the time for which an instance acts on its view without contact to any peer.
        lease: Duration,
        /// Sets the time for which an earlier view is remembered.
        view_memory: Duration,
        /// Sets the maximum number of flow records, of flows held here and elsewhere.
        flow_capacity: usize,
        /// Sets the maximum duration of a planned stop.
        drain: Duration,
        /// Sets the time for which a ticket can be redeemed after its issue.
        ticket_life: Duration,
        /// Sets the maximum size in bytes of all answers stored for retries.
        answer_bytes: usize,
        /// Sets the maximum number of queued requests per slot of the coordinated targets.
        queue_per_slot: usize,
        /// Sets the mean time between two reads of the platform by an instance that does not watch it.
        platform_fallback: Duration,
    }

    /// Checks the times and limits, each alone and against each other.
    ///
    /// # Errors
    ///
    /// Returns the first time or limit that is zero or contradicts another.
    pub fn checked(self) -> Result<Self, TuningError> {
        let limits = [
            ("ping period", self.ping_period.is_zero()),
            ("lease", self.lease.is_zero()),
            ("flow capacity", self.flow_capacity == 0),
            ("drain time", self.drain.is_zero()),
            ("ticket life", self.ticket_life.is_zero()),
            ("queue per slot", self.queue_per_slot == 0),
        ];
        if let Some((name, _)) = limits.into_iter().find(|(_, zero)| *zero) {
            return Err(TuningError::Zero(name));
        }
        if self.lease >= self.suspicion {
            return Err(TuningError::LeaseTooLong { lease: self.lease, suspicion: self.suspicion });
        }
        if self.ping_timeout >= self.ping_period {
            return Err(TuningError::TimeoutTooLong { timeout: self.ping_timeout, period: self.ping_period });
        }
        Ok(self)
    }

    /// Returns the maximum duration of a planned stop.
    #[must_use]
    pub fn drain_time(&self) -> Duration {
        self.drain
    }
}
