//! Benchmarks of the decisions made for every packet and every configuration change.
//!
//! Compare results only as ratios within one run: between sizes, or relative to `hash`, which represents the speed of the
//! machine.
#![allow(missing_docs, reason = "the macros of criterion generate undocumented items")]

mod support;

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use support::DOMAINS;
use support::checked;
use support::indexed_caller;
use support::serving_node;
use support::set;

use hawthornshift_core::Catalog;
use hawthornshift_core::Input;
use hawthornshift_core::view::ServingInstance;
use hawthornshift_core::view::View;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::FlowKey;

fn hash(c: &mut Criterion) {
    let key = FlowKey { service: 1, caller: indexed_caller(1) };
    c.bench_function("hash", |b| b.iter(|| black_box(&key).hash64()));
}

fn packets(c: &mut Criterion) {
    let mut group = c.benchmark_group("packet");
    let set = checked(56, 1);
    let service = set.set().services[0].id();
    for flows in [1_usize, 100_000, 1_000_000] {
        let (mut node, now) = serving_node(&set);
        let mut out = Vec::new();
        let mut number = 0_usize;
        let mut packet = |number| {
            out.clear();
            node.handle(now, Input::CallerPacket { service, caller: indexed_caller(number) }, &mut out);
        };
        (0..flows).for_each(&mut packet);
        group.bench_function(BenchmarkId::new("held", flows), |b| {
            b.iter(|| {
                number = number.wrapping_add(7_919);
                packet(number % flows);
            });
        });
    }
    group.finish();
}

fn homes(c: &mut Criterion) {
    let mut group = c.benchmark_group("home");
    let catalog = Arc::new(Catalog::new(checked(480, 1)));
    let service = catalog.services().next().expect("the set has one");
    for instances in [8_u32, 64, 430] {
        let serving =
            (0..instances).map(|id| (ServingInstance { id, incarnation: 1 }, DOMAINS[id as usize % DOMAINS.len()]));
        let view = View::new(Arc::clone(&catalog), serving);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(instances), |b| {
            b.iter(|| {
                number += 1;
                let key = FlowKey { service: service.id, caller: indexed_caller(number) };
                view.home(key.hash64(), service)
            });
        });
    }
    group.finish();
}

fn sets(c: &mut Criterion) {
    let mut group = c.benchmark_group("set");
    for (targets, services) in [(18, 2), (480, 76), (4_800, 760)] {
        let text = serde_json::to_vec(&set(targets, services)).expect("a set is always representable as JSON");
        group.bench_function(BenchmarkId::new("check", targets), |b| b.iter(|| CheckedSet::from_json(&text).is_ok()));
        let checked = checked(targets, services);
        group.bench_function(BenchmarkId::new("compile", targets), |b| b.iter(|| Catalog::new(Arc::clone(&checked))));
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_secs(1));
    targets = hash, packets, homes, sets
}
criterion_main!(benches);
