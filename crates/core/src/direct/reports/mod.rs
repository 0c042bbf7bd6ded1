//! Messages between instances and the contents of their reports.
//!
//! Reports are soft state: they are not acknowledged, each expires by itself, and a lost one is replaced by a later one.
//! These modules define and divide them; what a report changes is decided where it is applied.

pub mod answer_time_report;
pub mod capacity_report;
pub mod load_report;
pub mod message;
