//! Handovers as they travel between instances.

use proptest::arbitrary::any;
use proptest::collection::vec;
use proptest::proptest;

use hawthornshift_core::direct::message::Handover;
use hawthornshift_core::direct::store_entries::Delta;
use hawthornshift_core::direct::store_entries::StoreEntry;
use hawthornshift_core::direct::store_entries::TargetSpec;
use hawthornshift_core::direct::store_entries::VersionedEntry;
use hawthornshift_direct::peers::HandoverError;
use hawthornshift_direct::peers::decode_handover;
use hawthornshift_direct::peers::encode_handover;

fn whole(targets: u8) -> Handover {
    let target = |index: u8| {
        let facts = TargetSpec {
            service: "orders".to_owned(),
            address: std::net::SocketAddrV4::new([10, 9, 0, index].into(), 8_000),
            failure_domain: format!("domain-{}", index % 6),
            slots: 2,
            draining: false,
            cold_for: std::time::Duration::ZERO,
            started_at_ms: 1_700_000_000_000 + u64::from(index),
        };
        VersionedEntry {
            revision: 10 + u64::from(index),
            entry: StoreEntry::Target(0xA000 + u64::from(index), Some(facts)),
        }
    };
    let delta = Delta { since: 0, revision: 400, is_snapshot: true, entries: (0..targets).map(target).collect() };
    Handover { delta, ..Handover::default() }
}

/// What arrives is what was sent, in much fewer bytes: a start waits for them.
#[test]
fn a_handover_survives_the_way() {
    let sent = whole(200);
    let packed = encode_handover(&sent).unwrap();
    assert_eq!(decode_handover(&packed).unwrap(), sent);
    let plain = postcard::to_stdvec(&sent).unwrap();
    assert!(packed.len() * 3 < plain.len() * 2, "{} of {}", packed.len(), plain.len());
}

/// A few bytes that claim to be gigabytes must not be believed: the size is allocated before the rest is read.
#[test]
fn a_claimed_size_is_checked_before_it_is_allocated() {
    let mut packed = encode_handover(&whole(3)).unwrap();
    packed[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(matches!(decode_handover(&packed), Err(HandoverError::TooLarge)));
}

proptest! {
    /// Bytes that were cut off or garbled are refused, and stop nobody.
    #[test]
    fn anything_may_arrive(noise in vec(any::<u8>(), 0..200), at in any::<usize>(), cut in any::<usize>()) {
        let _ = decode_handover(&noise);
        let mut packed = encode_handover(&whole(20)).unwrap();
        let at = at % packed.len();
        packed[at] ^= 0x55;
        let cut = cut % packed.len();
        let _ = decode_handover(&packed[..cut]);
        let _ = decode_handover(&packed);
    }
}
