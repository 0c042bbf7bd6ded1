//! What is known of a request that has failed.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// Says whether a request may have run at a target.
///
/// Every error between a caller and a target carries one. The order is that of knowledge lost: when two parts of a
/// request's way report different verdicts, the greater one holds.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// No target has run the request and none will; it may be sent again.
    NotRun,
    /// A target may have run the request, or may still do so.
    MayHaveRun,
    /// A target ran the request and its whole answer is at hand.
    Answered,
}
