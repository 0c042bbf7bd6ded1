//! All decisions of an instance, as a state machine without I/O and without a clock (sans-I/O).
//!
//! [`Node::handle`] takes the current time and one [`Input`], and appends the resulting [`Output`]s. The owner of the
//! sockets (the adapters package in a process, a test in virtual time) supplies the inputs and performs the outputs.
//! Both are plain data types, so that a benchmark or a test can drive many nodes at once.
//!
//! Modules:
//!
//! - [`membership`] tracks which instances are alive, [`configuration`] which configuration set is active; both
//!   together determine a [`view::View`].
//! - [`flows`] finds the home instance of each datagram flow under that view, and under earlier views while they
//!   matter.
//! - [`coordinator`] counts the requests at the targets that this instance coordinates against their slots, and raises
//!   the limit of cold targets step by step.
//! - [`tickets`] and [`requests`] ensure that a non-idempotent request runs at most once and that every refusal is
//!   correct.
//! - [`direct`] is the path on which targets answer callers themselves (direct server return); of the modules above it
//!   uses only membership and rendezvous.
//! - [`invariants`] checks conditions that must always hold; violations are counted in release builds and fatal in
//!   tests.

pub mod attempt;
mod backoff;
pub mod catalog;
pub mod configuration;
pub mod coordinator;
pub mod direct;
pub mod dump;
pub mod event;
pub mod flows;
pub mod health;
pub mod invariants;
pub mod maps;
pub mod membership;
pub mod message;
pub mod node;
pub mod platform;
pub mod rendezvous;
pub mod requests;
pub mod slow_start;
pub mod streams;
pub mod tickets;
pub mod tuning;
pub mod view;

use std::time::Duration;

pub use catalog::Catalog;
pub use event::Input;
pub use event::Output;
pub use invariants::Invariant;
pub use invariants::InvariantCounters;
pub use message::PeerMessage;
pub use node::Node;
pub use tuning::Tuning;

/// Monotonic time of one process, measured from an origin chosen by the owner.
pub type Timestamp = Duration;
