//! Mechanisms that can be switched off for a trial, to measure what each is worth.
//!
//! All are on unless a trial says otherwise. The invariants that callers rely on do not hang on any switch but those that say
//! so: they are there to be measured, and not for operation.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;
use serde::Serializer;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;
use strum::VariantNames;
use thiserror::Error;

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, EnumIter, EnumString, Eq, IntoStaticStr, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Mechanism {
    /// Open requests are reported to the other instances.
    LoadReports,
    /// Targets that do not finish handshakes are avoided.
    OutlierDetection,
    /// Failure domains whose targets do not finish handshakes are avoided.
    DomainReach,
    /// Targets that owe answers are checked, and open flows of those out of reach are reset.
    TargetChecks,
    /// Targets whose answers look like failures are set aside.
    FailureDetection,
    /// Targets that do not answer, though they finish handshakes, are set aside.
    OverdueDetection,
    /// A SYN whose handshake is overdue goes to another target.
    SecondTry,
    /// New flows wait while all targets are full; without it they are rejected at once.
    PendingQueue,
    /// While targets are overloaded an instance bounds what it has open there.
    AdaptiveLimit,
    /// Flows that cannot be served by the rate at which slots come free are rejected at once.
    Admission,
    /// Flows that can no longer be in time wait behind those that can.
    LateLast,
    /// A target gets a little more than its slots hold, so that none idles.
    TargetReserve,
    /// Targets of other failure domains cost more.
    RemoteCost,
    /// Targets that are slower than usual cost more.
    Slowness,
    /// An instance that is alone bounds what it places late.
    SoloWindow,
    /// Targets that come back from a silence count as cold. A promise to cold targets hangs on it.
    ReturningCold,
    /// An instance that reaches no target asks for no callers.
    ReadinessByReach,
    /// What has waited in sockets while the process was paused is dropped. A promise to cold targets hangs on it.
    PauseDetection,
    /// SYNs that come before anything is known are kept.
    EarlySyns,
}

/// Which mechanisms are on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Mechanisms {
    /// A bit for each that is off.
    off: u32,
}

/// A name that stands for no mechanism.
#[derive(Debug, Error)]
#[error("there is no mechanism {name:?}; known are {}", Mechanism::VARIANTS.join(", "))]
pub struct UnknownMechanism {
    name: String,
}

impl Mechanisms {
    /// Tells whether a mechanism is on.
    #[must_use]
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.off & bit(mechanism) == 0
    }

    /// Returns the same without a mechanism.
    #[must_use]
    pub fn without(self, mechanism: Mechanism) -> Self {
        Self { off: self.off | bit(mechanism) }
    }

    /// Returns the names of those that are off.
    #[must_use]
    pub fn off(self) -> Vec<&'static str> {
        Mechanism::iter().filter(|mechanism| !self.has(*mechanism)).map(Into::into).collect()
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}

/// Reads the names of those that are off, with commas between them; none stands for all on.
impl FromStr for Mechanisms {
    type Err = UnknownMechanism;

    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let mut names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
        names.try_fold(Self::default(), |all, name| {
            let mechanism = name.parse().map_err(|_| UnknownMechanism { name: name.to_owned() })?;
            Ok(all.without(mechanism))
        })
    }
}

impl fmt::Display for Mechanisms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.off().join(","))
    }
}

impl Serialize for Mechanisms {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.off().serialize(serializer)
    }
}
