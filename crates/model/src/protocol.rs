//! Protocols between callers and services.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// Protocol between callers and a service.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// UDP packets; the packets from one caller address and port form a flow.
    Datagram,
    /// TCP connections, proxied as byte streams.
    Stream,
    /// HTTP/1.1 requests, balanced individually.
    Http,
}

impl Protocol {
    /// Returns whether the protocol runs over UDP, whose port numbers are separate from those of TCP.
    #[must_use]
    pub fn is_datagram(self) -> bool {
        self == Self::Datagram
    }
}
