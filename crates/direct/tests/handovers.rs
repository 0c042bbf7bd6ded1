//! Encoding and decoding of handovers.

use std::time::Duration;

use proptest::arbitrary::any;
use proptest::collection::vec;
use proptest::proptest;

use hawthornshift_core::direct::flow_bindings::FlowBinding;
use hawthornshift_core::direct::reports::message::Handover;
use hawthornshift_core::direct::store::parts::PartPosition;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::RequestKind;
use hawthornshift_core::direct::store::store_entries::Route;
use hawthornshift_core::direct::store::store_entries::Routing;
use hawthornshift_core::direct::store::store_entries::Share;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::TargetSpec;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;
use hawthornshift_direct::peers::HandoverError;
use hawthornshift_direct::peers::decode_handover;
use hawthornshift_direct::peers::encode_handover;

fn target_spec(index: u8) -> TargetSpec {
    TargetSpec {
        service: "orders".to_owned(),
        address: std::net::SocketAddrV4::new([10, 9, 0, index].into(), 8_000),
        failure_domain: format!("domain-{}", index % 6),
        slots: 2,
        draining: false,
        cold_for: Duration::ZERO,
        started_at_ms: 1_700_000_000_000 + u64::from(index),
    }
}

fn snapshot(targets: u8) -> Handover {
    let target = |index: u8| {
        let entry = StoreEntry::Target(0xA000 + u64::from(index), Some(target_spec(index)));
        VersionedEntry { revision: 10 + u64::from(index), entry }
    };
    let delta = Delta { since: 0, revision: 400, is_snapshot: true, entries: (0..targets).map(target).collect() };
    Handover { delta, ..Handover::default() }
}

/// Guards against a handover that changes in transit or is hardly compressed: a starting instance waits for its bytes.
#[test]
fn handover_round_trips_compressed() {
    let sent = snapshot(200);
    let compressed = encode_handover(&sent).unwrap();
    assert_eq!(decode_handover(&compressed).unwrap(), sent);
    let uncompressed = postcard::to_stdvec(&sent).unwrap();
    assert!(compressed.len() * 3 < uncompressed.len() * 2, "{} of {}", compressed.len(), uncompressed.len());
}

/// Guards against a start without state while instances of two versions run: earlier ones send no flow bindings, and read
/// nothing behind the fields that they know.
#[test]
fn handovers_of_earlier_versions_are_compatible() {
    let known = snapshot(3);
    let binding = FlowBinding { flow: 7, sequence: 8, target: 9 };
    let next = Some(PartPosition { revision: 12, target: 0xA002 });
    let sent = Handover { flow_bindings: vec![(binding, Duration::from_secs(40))], next, ..snapshot(3) };
    let compressed = encode_handover(&sent).unwrap();
    assert_eq!(decode_handover(&compressed).unwrap(), sent);
    let read_by_earlier: Handover =
        postcard::from_bytes(&lz4_flex::decompress_size_prepended(&compressed).unwrap()).unwrap();
    assert_eq!(read_by_earlier, known);
    let sent_by_earlier = lz4_flex::compress_prepend_size(&postcard::to_stdvec(&known).unwrap());
    assert_eq!(decode_handover(&sent_by_earlier).unwrap(), known);
    let with_bindings = postcard::to_extend(&sent.flow_bindings, postcard::to_stdvec(&known).unwrap()).unwrap();
    let sent_before_parts = lz4_flex::compress_prepend_size(&with_bindings);
    assert_eq!(decode_handover(&sent_before_parts).unwrap(), Handover { next: None, ..sent });
}

/// Guards against a part that exceeds the maximum of a message: a configuration and an entry of the largest size that the
/// store accepts come together with the state that a starting instance gets.
#[test]
fn the_largest_part_can_be_decoded() {
    let value_bytes = 1 << 20;
    let spec = TargetSpec { service: "n".repeat(value_bytes), ..target_spec(0) };
    let share = Share { service: "n".repeat(value_bytes), weight: 1 };
    let route = Route {
        address: spec.address,
        shares: vec![share],
        kind: RequestKind::Safe,
        timeout: Duration::MAX,
        latency_objective: Duration::MAX,
        priority: u8::MAX,
    };
    let routing = Routing { version: 1, routes: vec![route], ..Routing::default() };
    let entries = [StoreEntry::Routing(routing), StoreEntry::Target(1, Some(spec))]
        .map(|entry| VersionedEntry { revision: 9, entry });
    let delta = Delta { since: 0, revision: 9, is_snapshot: true, entries: entries.into() };
    let binding = FlowBinding { flow: u64::MAX, sequence: u32::MAX, target: u32::MAX };
    let sent = Handover {
        delta,
        open_requests: vec![(u32::MAX, u64::MAX, Duration::from_mins(1)); 20_000],
        flow_bindings: vec![(binding, Duration::from_mins(1)); 32_768],
        ..Handover::default()
    };
    assert_eq!(decode_handover(&encode_handover(&sent).unwrap()).unwrap(), sent);
}

/// Guards against a short message that declares a size of gigabytes: the decompressor allocates that size before it reads
/// the data.
#[test]
fn declared_size_is_checked_before_allocation() {
    let mut compressed = encode_handover(&snapshot(3)).unwrap();
    compressed[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(matches!(decode_handover(&compressed), Err(HandoverError::TooLarge)));
}

proptest! {
    /// Guards against a panic on random, corrupted or truncated bytes.
    #[test]
    fn decode_handover_never_panics(bytes in vec(any::<u8>(), 0..200), at in any::<usize>(), cut in any::<usize>()) {
        let _ = decode_handover(&bytes);
        let mut compressed = encode_handover(&snapshot(20)).unwrap();
        let at = at % compressed.len();
        compressed[at] ^= 0x55;
        let cut = cut % compressed.len();
        let _ = decode_handover(&compressed[..cut]);
        let _ = decode_handover(&compressed);
    }
}
