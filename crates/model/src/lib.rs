//! Types shared by all other packages.
//!
//! This package defines the objects that operators publish ([`set`]), the validation of a set before any part of it
//! takes effect ([`check`]), the difference between two sets ([`diff`]), flow keys ([`flow`]) and the [`Verdict`] that
//! each failed request carries. It uses no clock and no socket, so that the operators' tool and the instances validate
//! a set with the same code.

pub mod check;
pub mod diff;
pub mod flow;
pub mod ids;
pub mod protocol;
pub mod set;
pub mod verdict;

pub use check::CheckedSet;
pub use check::Diagnostic;
pub use check::Severity;
pub use flow::FlowKey;
pub use ids::Incarnation;
pub use ids::InstanceId;
pub use ids::Revision;
pub use ids::ServiceId;
pub use ids::TargetId;
pub use protocol::Protocol;
pub use set::Class;
pub use set::DomainState;
pub use set::FailureDomain;
pub use set::PublishedSet;
pub use set::Service;
pub use set::Target;
pub use set::TargetGroup;
pub use verdict::Verdict;
