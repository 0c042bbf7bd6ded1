//! Forwarded packets on the wire, whole and damaged.

use std::net::SocketAddr;

use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::Config;

use hawthornshift_adapters::wire;
use hawthornshift_adapters::wire::MAX_HEAD_BYTES;
use hawthornshift_core::message::ForwardPurpose;
use hawthornshift_core::message::ForwardedPacketHeader;

fn head(service: u64, caller: SocketAddr, hops_left: u8, position: u8) -> ForwardedPacketHeader {
    ForwardedPacketHeader { from: 7, service, caller, hops_left, purpose: ForwardPurpose::Ask { position } }
}

proptest! {
    #![proptest_config(Config { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..Config::default() })]

    #[test]
    fn a_packet_comes_back_as_it_was(
        service: u64,
        ip: [u8; 16],
        port: u16,
        hops_left: u8,
        position: u8,
        payload in prop::collection::vec(any::<u8>(), 0..2_000),
    ) {
        let head = head(service, SocketAddr::from((ip, port)), hops_left, position);
        let mut buf = Vec::new();
        wire::encode(&head, &payload, &mut buf).unwrap();
        prop_assert!(buf.len() <= payload.len() + MAX_HEAD_BYTES);
        let (decoded, rest) = wire::decode(&buf).unwrap();
        prop_assert_eq!(decoded, head);
        prop_assert_eq!(rest, &payload[..]);
    }

    /// A stranger or a broken network delivers bytes that no instance has written. The receiver drops them; it must
    /// not panic or read past them.
    #[test]
    fn damaged_packets_are_refused_or_read_within_bounds(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok((_, payload)) = wire::decode(&bytes) {
            prop_assert!(payload.len() < bytes.len());
        }
    }
}

#[test]
fn a_packet_too_large_to_forward_is_refused() {
    let head = head(1, "10.0.0.1:5".parse().unwrap(), 3, 0);
    assert!(wire::encode(&head, &vec![0; 65_507], &mut Vec::new()).is_err());
}
