//! Dump of a node's state for operators.

use super::Node;
use crate::Timestamp;
use crate::dump::ConfigurationDump;
use crate::dump::Dump;
use crate::dump::FlowDump;

impl Node {
    /// Returns the state of the node for operators.
    #[must_use]
    pub fn dump(&self, now: Timestamp) -> Dump {
        let catalog = self.configuration.catalog();
        let out_domains = catalog.domains().iter().filter(|domain| !domain.in_service);
        let name = |id| {
            let target = catalog.target(id);
            target.map_or_else(String::new, |target| format!("{}/{}", catalog.group(target.group).name, target.name))
        };
        Dump {
            me: self.membership.me().clone(),
            phase: self.phase.name(),
            uptime_ms: now.saturating_sub(self.started).as_millis(),
            fenced: self.fence.is_some(),
            configuration: ConfigurationDump {
                revision: catalog.revision(),
                digest: format!("{:016x}", catalog.digest()),
                out: out_domains.map(|domain| domain.name.clone()).collect(),
                clashes: self.configuration.clashes(),
                refused: self.configuration.refused(),
            },
            view: format!("{:016x}", self.view.digest()),
            serving: self.view.serving().iter().map(|instance| instance.id).collect(),
            members: self.membership.members().cloned().collect(),
            flows: FlowDump {
                held: self.flows.held(),
                elsewhere: self.flows.elsewhere(),
                earlier_views: self.flows.earlier_views(),
                settled: self.flows.settled(),
                counts: self.flows.counts().clone(),
            },
            streams: self.streams.len(),
            requests: *self.requests.counts(),
            requests_under_way: self.requests.under_way(),
            running: self.coordinator.running(),
            queued: self.coordinator.queued(),
            tickets_remembered: self.tickets.redemption_count(),
            answer_bytes: self.tickets.answer_bytes(),
            kept: self.coordinator.targets(name),
            breaches: self.invariant_counters.breaches(),
        }
    }
}
