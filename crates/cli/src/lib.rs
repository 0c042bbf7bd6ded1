//! Settings, commands and the demo behind the two binaries.
//!
//! The binaries themselves only call [`run_instance`] and [`run_ctl`]; everything that can be tested is here.

pub mod ctl;
pub mod demo;
pub mod direct;
pub mod exit;
mod incarnation;
pub mod instance;
pub mod settings;

pub use ctl::run_ctl;
pub use instance::run_instance;
