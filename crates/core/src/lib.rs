//! Every decision of an instance, without sockets and without a clock.
//!
//! [`Node::handle`] takes the present time and one [`Input`], and appends the [`Output`]s that follow from it. Whoever
//! owns the sockets (the adapters package in a process, a test in virtual time) feeds it and carries out what it
//! asks for. The boundary is typed and serialisable, so that any bench or test can drive many nodes at once.
//!
//! How the parts fit:
//!
//! - [`membership`] keeps who is alive, [`configuration`] which set is in force; together they make a [`view::View`].
//! - [`flows`] finds the home of each datagram flow under that view, and under earlier ones while they matter.
//! - [`coordinator`] counts the slots of the targets that this instance keeps, and raises cold ones step by step.
//! - [`tickets`] and [`requests`] see to it that a non-idempotent request runs at most once and that each refusal is
//!   true.
//! - [`direct`] is the path on which targets answer callers themselves; of the above it uses only membership and
//!   rendezvous.
//! - [`invariants`] asserts what must always hold, counted in release and fatal in tests.

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

/// A moment on the monotonic clock of one process, counted from a start of the owner's choosing.
pub type Timestamp = Duration;
