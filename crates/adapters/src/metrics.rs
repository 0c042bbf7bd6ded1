//! Metrics in the Prometheus text format.
//!
//! The core keeps the counts; this module exports them on each scrape. Each scrape uses a recorder of its own, so that
//! the metrics of several instances in one process (as in the demo) stay separate.

use metrics::counter;
use metrics::gauge;
use metrics_exporter_prometheus::PrometheusBuilder;

use crate::datagrams::SocketCounts;
use hawthornshift_core::dump::Dump;

/// Returns an instance's metrics in the Prometheus text format.
#[must_use]
pub fn render(dump: &Dump, sockets: &SocketCounts) -> String {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        record_state(dump);
        record_flows(dump);
        record_requests(dump);
        record_sockets(sockets);
    });
    handle.render()
}

fn gauge_value(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn record_state(dump: &Dump) {
    gauge!("hawthornshift_ready").set(f64::from(u8::from(dump.phase == "serving" && !dump.fenced)));
    gauge!("hawthornshift_fenced").set(f64::from(u8::from(dump.fenced)));
    counter!("hawthornshift_configuration_revision").absolute(dump.configuration.revision);
    counter!("hawthornshift_configuration_clashes_total").absolute(dump.configuration.clashes);
    counter!("hawthornshift_configuration_refused_total").absolute(dump.configuration.refused);
    gauge!("hawthornshift_instances_serving").set(gauge_value(dump.serving.len()));
    for breach in &dump.breaches {
        let name: &'static str = breach.invariant.into();
        counter!("hawthornshift_invariant_breaches_total", "invariant" => name).absolute(breach.count);
    }
    for target in &dump.kept {
        let name = target.name.clone();
        gauge!("hawthornshift_target_running", "target" => name.clone()).set(f64::from(target.running));
        gauge!("hawthornshift_target_limit", "target" => name).set(f64::from(target.limit));
    }
}

fn record_flows(dump: &Dump) {
    let counts = &dump.flows.counts;
    gauge!("hawthornshift_flows_held").set(gauge_value(dump.flows.held));
    gauge!("hawthornshift_flows_elsewhere").set(gauge_value(dump.flows.elsewhere));
    gauge!("hawthornshift_streams_open").set(gauge_value(dump.streams));
    counter!("hawthornshift_flows_opened_total").absolute(counts.opened);
    counter!("hawthornshift_flows_given_up_total").absolute(counts.given_up);
    counter!("hawthornshift_flows_expired_total").absolute(counts.expired);
    counter!("hawthornshift_flows_taken_over_total").absolute(counts.taken_over);
    counter!("hawthornshift_flows_handed_over_total").absolute(counts.handed_over);
    counter!("hawthornshift_flow_conflicts_total").absolute(counts.conflicts);
    counter!("hawthornshift_packets_forwarded_total").absolute(counts.forwarded);
    for (reason, count) in &counts.dropped {
        let reason: &'static str = reason.into();
        counter!("hawthornshift_packets_dropped_total", "reason" => reason).absolute(*count);
    }
}

fn record_requests(dump: &Dump) {
    let counts = &dump.requests;
    gauge!("hawthornshift_requests_under_way").set(gauge_value(dump.requests_under_way));
    gauge!("hawthornshift_requests_running").set(gauge_value(dump.running));
    gauge!("hawthornshift_requests_queued").set(gauge_value(dump.queued));
    gauge!("hawthornshift_tickets_remembered").set(gauge_value(dump.tickets_remembered));
    gauge!("hawthornshift_answer_bytes").set(gauge_value(dump.answer_bytes));
    counter!("hawthornshift_requests_arrived_total").absolute(counts.arrived);
    counter!("hawthornshift_requests_passed_in_total").absolute(counts.passed_in);
    counter!("hawthornshift_requests_ended_total", "verdict" => "answered").absolute(counts.answered);
    counter!("hawthornshift_requests_ended_total", "verdict" => "not-run").absolute(counts.not_run);
    counter!("hawthornshift_requests_ended_total", "verdict" => "may-have-run").absolute(counts.may_have_run);
    counter!("hawthornshift_retries_total").absolute(counts.retries);
    counter!("hawthornshift_late_answers_total").absolute(counts.late_answers);
}

fn record_sockets(sockets: &SocketCounts) {
    let losses = [("malformed", &sockets.malformed), ("too-large", &sockets.too_large), ("unsent", &sockets.unsent)];
    for (reason, count) in losses {
        let count = count.load(std::sync::atomic::Ordering::Relaxed);
        counter!("hawthornshift_socket_losses_total", "reason" => reason).absolute(count);
    }
}
