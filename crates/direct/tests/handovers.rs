//! Encoding and decoding of handovers.

use std::time::Duration;

use proptest::arbitrary::any;
use proptest::collection::vec;
use proptest::proptest;

use hawthornshift_core::direct::flow_bindings::FlowBinding;
use hawthornshift_core::direct::reports::message::Handover;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::TargetSpec;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;
use hawthornshift_direct::peers::HandoverError;
use hawthornshift_direct::peers::decode_handover;
use hawthornshift_direct::peers::encode_handover;

fn snapshot(targets: u8) -> Handover {
    let target = |index: u8| {
        let spec = TargetSpec {
            service: "orders".to_owned(),
            address: std::net::SocketAddrV4::new([10, 9, 0, index].into(), 8_000),
            failure_domain: format!("domain-{}", index % 6),
            slots: 2,
            draining: false,
            cold_for: Duration::ZERO,
            started_at_ms: 1_700_000_000_000 + u64::from(index),
        };
        VersionedEntry {
            revision: 10 + u64::from(index),
            entry: StoreEntry::Target(0xA000 + u64::from(index), Some(spec)),
        }
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
    let sent = Handover { flow_bindings: vec![(binding, Duration::from_secs(40))], ..snapshot(3) };
    let compressed = encode_handover(&sent).unwrap();
    assert_eq!(decode_handover(&compressed).unwrap(), sent);
    let read_by_earlier: Handover =
        postcard::from_bytes(&lz4_flex::decompress_size_prepended(&compressed).unwrap()).unwrap();
    assert_eq!(read_by_earlier, known);
    let sent_by_earlier = lz4_flex::compress_prepend_size(&postcard::to_stdvec(&known).unwrap());
    assert_eq!(decode_handover(&sent_by_earlier).unwrap(), known);
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
