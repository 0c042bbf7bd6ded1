//! Settings, commands and the demo of the two binaries.
//!
//! The binaries only call [`run_instance`] and [`run_ctl`], so that all other code can be tested here.

pub mod ctl;
pub mod demo;
pub mod direct;
pub mod exit;
mod incarnation;
pub mod instance;
pub mod settings;

pub use ctl::run_ctl;
pub use instance::run_instance;
