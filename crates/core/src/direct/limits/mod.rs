//! How much this instance sends to the targets, and which flows wait or are refused when that is not enough.
//!
//! The limits are those of this instance alone, computed from its own answers and from what others report. Nothing here
//! knows single targets or sends anything.

pub mod adaptive_limit;
pub mod admission;
pub mod caller_rates;
pub mod concurrency_limit;
pub mod fair_share;
pub mod link_budget;
pub mod pending;
pub mod slot_quota;
