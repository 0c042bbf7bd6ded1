//! The times and limits that decisions depend on, checked once.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Times and limits of a node; made by the builder-like setters and checked by [`Tuning::checked`].
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

/// Why a tuning was refused.
#[derive(Debug, Error)]
pub enum TuningError {
    /// A time or limit is zero.
    #[error("{0} must not be zero")]
    Zero(&'static str),
    /// A paused instance could go on working for targets that others have taken over.
    #[error("the lease ({lease:?}) must be shorter than the suspicion time ({suspicion:?})")]
    LeaseTooLong {
        /// The lease asked for.
        lease: Duration,
        /// The suspicion time asked for.
        suspicion: Duration,
    },
    /// A ping would be given up after the next is due.
    #[error("the ping timeout ({timeout:?}) must be shorter than the ping period ({period:?})")]
    TimeoutTooLong {
        /// The timeout asked for.
        timeout: Duration,
        /// The period asked for.
        period: Duration,
    },
}

/// Generates the setters, which differ in nothing but the field.
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
        /// Sets how often one peer is asked whether it lives.
        ping_period: Duration,
        /// Sets how long an answer is waited for before others are asked to try.
        ping_timeout: Duration,
        /// Sets how long a silent peer is suspected before it counts as dead.
        suspicion: Duration,
        /// Sets how long an instance trusts its view without word from any peer.
        lease: Duration,
        /// Sets how long an earlier view is remembered when its homes do not say they are done.
        view_memory: Duration,
        /// Sets the most flows held.
        flow_capacity: usize,
        /// Sets the longest time a planned stop may take.
        drain: Duration,
        /// Sets how long a ticket may be redeemed.
        ticket_life: Duration,
        /// Sets the most bytes of answers kept for retries.
        answer_bytes: usize,
        /// Sets how many requests may wait for each slot kept.
        queue_per_slot: usize,
        /// Sets how often an instance that does not watch the platform reads it all the same.
        platform_fallback: Duration,
    }

    /// Checks the times and limits against each other.
    ///
    /// # Errors
    ///
    /// Returns the first time or limit that contradicts another.
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

    /// Returns the most time that a planned stop may take.
    #[must_use]
    pub fn drain_time(&self) -> Duration {
        self.drain
    }
}
