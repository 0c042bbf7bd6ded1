//! Test doubles of the platform, the key-value store and targets, for tests and the demo only.
//!
//! They implement the published interfaces over real sockets. They keep counts of their own, independent of any
//! instance, so that a report can be reconciled with what instances count.

pub mod platform;
pub mod store;
pub mod target;

pub use platform::Platform;
pub use store::Store;
pub use target::Target;
pub use target::TargetKind;
