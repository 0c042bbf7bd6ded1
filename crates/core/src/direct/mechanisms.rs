//! Mechanisms that can be switched off in an experiment, to measure the effect of each.
//!
//! All are on by default. The switches are for measurements and not for operation. The guarantees to callers do not
//! depend on any of them, except where a mechanism states otherwise.

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
    /// Reports open requests to the other instances.
    LoadReports,
    /// Avoids targets that do not complete handshakes.
    OutlierDetection,
    /// Avoids failure domains whose targets do not complete handshakes.
    DomainReach,
    /// Checks targets with overdue answers, and resets open flows of those that are out of reach.
    TargetChecks,
    /// Lets findings that targets are out of reach expire, and checks these targets again. A guarantee for open flows
    /// depends on it.
    FindingAge,
    /// Places no new flow while the directory has been behind those of the peers for too long. The bound for draining
    /// targets depends on it.
    DirectoryLag,
    /// Ejects targets whose answers look like failures.
    FailureDetection,
    /// Ejects targets that complete handshakes but do not answer.
    OverdueDetection,
    /// Sends a SYN whose handshake is overdue to another target.
    SecondTry,
    /// Lets new flows wait while all targets are full. Without it they are rejected at once.
    PendingQueue,
    /// Limits the open requests of an instance while targets are overloaded.
    AdaptiveLimit,
    /// Rejects flows at once that cannot be served at the rate at which slots become free.
    Admission,
    /// Guarantees a share of a service's slots to each route while routes of different priority compete.
    FairShare,
    /// Detects callers that send many times more flows than others, and limits them to an equal share.
    CallerShares,
    /// Queues flows that can no longer be in time behind those that can.
    LateLast,
    /// Gives a target slightly more requests than it has slots, so that no slot idles.
    TargetReserve,
    /// Adds a cost to targets of other failure domains.
    RemoteCost,
    /// Increases the cost of targets that are slower than usual.
    Slowness,
    /// Learns with the group how fast each target works, and weights the cost of targets with it.
    TargetSpeed,
    /// Lets slow targets queue fewer requests and fast targets more. Acts only with target-speed.
    SpeedQueue,
    /// Limits the late flows that an instance places while it is alone.
    SoloWindow,
    /// Treats targets that respond again after they were unresponsive as cold. A guarantee for cold targets depends
    /// on it.
    ReturningCold,
    /// Reports an instance that reaches no target as not ready.
    ReadinessByReach,
    /// Drops what has waited in sockets while the process was paused. A guarantee for cold targets depends on it.
    PauseDetection,
    /// Keeps SYNs that arrive before the configuration and the targets are known.
    EarlySyns,
    /// Refuses flows of many bytes that this instance's own narrow link could not carry in time, and does not take the
    /// link's delay for a target that does not answer.
    LinkBudget,
    /// Divides the slots of an overloaded service among the instances. Without it, or without the adaptive limit, each
    /// instance limits its open requests by itself.
    SlotQuota,
}

/// Set of mechanisms that are on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Mechanisms {
    /// One bit for each mechanism that is off.
    off: u32,
}

/// Error for a name that is not the name of a mechanism.
#[derive(Debug, Error)]
#[error("unknown mechanism {name:?}; the known mechanisms are {}", Mechanism::VARIANTS.join(", "))]
pub struct UnknownMechanism {
    name: String,
}

impl Mechanisms {
    /// Returns whether a mechanism is on.
    #[must_use]
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.off & bit(mechanism) == 0
    }

    /// Returns the set without a mechanism.
    #[must_use]
    pub fn without(self, mechanism: Mechanism) -> Self {
        Self { off: self.off | bit(mechanism) }
    }

    /// Returns the names of the mechanisms that are off.
    #[must_use]
    pub fn off(self) -> Vec<&'static str> {
        Mechanism::iter().filter(|mechanism| !self.has(*mechanism)).map(Into::into).collect()
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}

/// Parses a comma-separated list of the mechanisms that are off. An empty list switches none off.
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
