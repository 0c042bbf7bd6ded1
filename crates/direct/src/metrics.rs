//! Metrics in the Prometheus text format, rendered on request.

use metrics::counter;
use metrics::gauge;
use metrics_exporter_prometheus::PrometheusBuilder;
use strum::IntoEnumIterator;

use crate::dump::Sources;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::limits::link_budget::LinkState;
use hawthornshift_core::direct::reports::message::FrameKind;

/// Exported quantiles of the latency histograms, with their label values.
const QUANTILES: [(f64, &str); 4] = [(0.5, "0.5"), (0.9, "0.9"), (0.99, "0.99"), (1.0, "1")];

/// Returns the metrics in the Prometheus text format.
#[must_use]
pub fn render(now: Timestamp, sources: &Sources<'_>) -> String {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        record_state(now, sources);
        record_decisions(sources);
        record_sockets(sources);
        record_target_speeds(sources);
    });
    handle.render()
}

fn gauge_value(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn record_state(now: Timestamp, sources: &Sources<'_>) {
    let directory = sources.dispatcher.directory();
    let (flows, waiting) = sources.dispatcher.flow_counts();
    let flag = |value: bool| f64::from(u8::from(value));
    gauge!("hawthornshift_ready").set(flag(sources.ready));
    gauge!("hawthornshift_watching_store").set(flag(sources.fleet.watcher_role().is_watching()));
    gauge!("hawthornshift_news_age_seconds").set(sources.fleet.watcher_role().age(now).as_secs_f64());
    gauge!("hawthornshift_directory_behind_seconds").set(sources.fleet.behind_for(now).as_secs_f64());
    gauge!("hawthornshift_store_revision")
        .set(gauge_value(usize::try_from(directory.revision()).unwrap_or(usize::MAX)));
    gauge!("hawthornshift_configuration_version")
        .set(gauge_value(usize::try_from(directory.version()).unwrap_or(usize::MAX)));
    gauge!("hawthornshift_instances_serving").set(gauge_value(sources.fleet.serving().len()));
    gauge!("hawthornshift_flows_recorded").set(gauge_value(flows));
    gauge!("hawthornshift_flows_waiting").set(gauge_value(waiting));
    gauge!("hawthornshift_flow_bindings").set(gauge_value(sources.dispatcher.flow_bindings().len()));
    gauge!("hawthornshift_work_open").set(gauge_value(sources.dispatcher.open_requests().total()));
    gauge!("hawthornshift_targets_avoided").set(gauge_value(sources.dispatcher.outliers().avoided(now).count()));
    gauge!("hawthornshift_targets_unreachable").set(gauge_value(sources.dispatcher.unreachable_count(now)));
    gauge!("hawthornshift_targets_failing").set(gauge_value(sources.dispatcher.failing_count(now)));
    gauge!("hawthornshift_limits_in_force").set(gauge_value(sources.dispatcher.active_limit_count()));
    // A link that is not narrow has no budget; its gauges stay at zero.
    let link = sources.dispatcher.link_status(now).unwrap_or_default();
    gauge!("hawthornshift_link_congested").set(flag(link.state == LinkState::Congested));
    gauge!("hawthornshift_link_capacity_mbps").set(link.capacity_mbps);
    gauge!("hawthornshift_link_used_mbps").set(link.used_mbps);
    gauge!("hawthornshift_link_delay_ms").set(link.delay_ms);
    gauge!("hawthornshift_link_heavy_flows").set(gauge_value(link.heavy_flows));
    counter!("hawthornshift_link_refused_total").absolute(link.refused);
    gauge!("hawthornshift_services_contended").set(gauge_value(sources.dispatcher.contended_count()));
    gauge!("hawthornshift_callers_heavy").set(gauge_value(sources.dispatcher.heavy_callers()));
    counter!("hawthornshift_guaranteed_placements_total").absolute(sources.dispatcher.guaranteed_count());
    gauge!("hawthornshift_quotas_in_force").set(gauge_value(sources.dispatcher.slot_quotas().in_force().count()));
    counter!("hawthornshift_targets_examined_total").absolute(sources.dispatcher.examined_targets());
    let accepting = directory.targets().filter(|target| target.takes_flows(now)).count();
    gauge!("hawthornshift_targets_listed").set(gauge_value(accepting));
}

fn record_decisions(sources: &Sources<'_>) {
    for outcome in Outcome::iter() {
        let name: &'static str = outcome.into();
        counter!("hawthornshift_decisions_total", "outcome" => name).absolute(sources.dispatcher.counts().get(outcome));
    }
    for (name, histogram) in sources.dispatcher.latencies() {
        counter!("hawthornshift_latency_samples_total", "of" => name).absolute(histogram.len());
        for (quantile, label) in QUANTILES {
            let millis = u32::try_from(histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
            gauge!("hawthornshift_latency_ms", "of" => name, "quantile" => label).set(f64::from(millis));
        }
    }
}

fn record_target_speeds(sources: &Sources<'_>) {
    let speeds = sources.dispatcher.target_speeds();
    let (fastest, slowest) = speeds.factor_range();
    gauge!("hawthornshift_target_speeds_known").set(gauge_value(speeds.known_count()));
    gauge!("hawthornshift_target_speeds_active").set(gauge_value(speeds.active_count()));
    gauge!("hawthornshift_target_speed_fastest").set(fastest);
    gauge!("hawthornshift_target_speed_slowest").set(slowest);
    let counts = speeds.counts();
    for (name, count) in [("own", counts.own), ("peers", counts.peers)] {
        counter!("hawthornshift_answer_time_samples_total", "from" => name).absolute(count);
    }
}

fn record_sockets(sources: &Sources<'_>) {
    let (callers, peers, process) = (sources.callers, sources.peers, sources.process);
    let counts = [
        ("hawthornshift_packets_received_total", callers.received),
        ("hawthornshift_packets_malformed_total", callers.malformed),
        ("hawthornshift_packets_stale_total", callers.stale),
        ("hawthornshift_packets_forwarded_total", callers.forwarded),
        ("hawthornshift_resets_sent_total", callers.resets),
        ("hawthornshift_packets_unsent_total", callers.unsent),
        ("hawthornshift_peer_messages_unsent_total", peers.unsent),
        ("hawthornshift_peer_messages_received_total", peers.received),
        ("hawthornshift_peer_messages_malformed_total", peers.malformed),
        ("hawthornshift_loop_iterations_total", process.iterations),
        ("hawthornshift_store_answers_total", process.store_answers),
        ("hawthornshift_store_failures_total", process.store_failures),
        ("hawthornshift_store_entries_refused_total", process.entries_refused),
        ("hawthornshift_pulls_total", process.pulls),
        ("hawthornshift_pull_failures_total", process.pull_failures),
        ("hawthornshift_pull_refusals_total", process.pull_refusals),
    ];
    for (name, count) in counts {
        counter!(name).absolute(count);
    }
    for kind in FrameKind::iter() {
        let name: &'static str = kind.into();
        counter!("hawthornshift_peer_messages_sent_total", "kind" => name).absolute(peers.sent[kind as usize]);
        counter!("hawthornshift_peer_bytes_sent_total", "kind" => name).absolute(peers.sent_bytes[kind as usize]);
    }
    for (kind, handovers) in [("whole", process.whole_handovers), ("news", process.news_handovers)] {
        counter!("hawthornshift_handovers_total", "kind" => kind).absolute(handovers.answers);
        counter!("hawthornshift_handover_bytes_total", "kind" => kind).absolute(handovers.bytes);
    }
}
