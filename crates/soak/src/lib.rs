//! A soak test with fault injection: real instances as separate processes, with simulated targets and callers that
//! exchange the platform's packets.
//!
//! [`rig`] starts and stops the processes. [`target`] and [`caller`] are the two ends of every flow, and [`wire`] encodes
//! their packets. [`proxy`] forwards connections between an instance and the store and can break them. [`plan`] generates
//! the faults from a seed. [`ledger`] records the observations of callers and targets and checks them against the
//! invariants. [`run`] combines these parts into one run.

pub mod caller;
pub mod ledger;
pub mod plan;
pub mod proxy;
pub mod rig;
pub mod run;
pub mod target;
pub mod wire;
