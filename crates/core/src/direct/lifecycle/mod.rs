//! The life of an instance: its start without any state, whether callers should be sent to it, pauses of its process, and
//! its planned stop.

pub mod bootstrap;
pub mod pause;
pub mod readiness;
pub mod stopping;
