//! Encoding and decoding of forwarded packets, valid and damaged.

use std::net::SocketAddr;

use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::Config;

use hawthornshift_adapters::wire;
use hawthornshift_adapters::wire::MAX_HEADER_BYTES;
use hawthornshift_core::message::ForwardPurpose;
use hawthornshift_core::message::ForwardedPacketHeader;

fn header(service: u64, caller: SocketAddr, hops_left: u8, position: u8) -> ForwardedPacketHeader {
    ForwardedPacketHeader { from: 7, service, caller, hops_left, purpose: ForwardPurpose::Ask { position } }
}

proptest! {
    #![proptest_config(Config { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..Config::default() })]

    /// A header that changes between encoder and decoder would send a packet to the wrong caller or service, and a
    /// changed payload is data corruption. A header longer than `MAX_HEADER_BYTES` would make the sender reallocate its
    /// buffer for each packet.
    #[test]
    fn encode_and_decode_round_trip(
        service: u64,
        ip: [u8; 16],
        port: u16,
        hops_left: u8,
        position: u8,
        payload in prop::collection::vec(any::<u8>(), 0..2_000),
    ) {
        let header = header(service, SocketAddr::from((ip, port)), hops_left, position);
        let mut buf = Vec::new();
        wire::encode(&header, &payload, &mut buf).unwrap();
        prop_assert!(buf.len() <= payload.len() + MAX_HEADER_BYTES);
        let (decoded, decoded_payload) = wire::decode(&buf).unwrap();
        prop_assert_eq!(decoded, header);
        prop_assert_eq!(decoded_payload, &payload[..]);
    }

    /// A foreign sender or a faulty network delivers bytes that no instance has encoded. The receiver drops them;
    /// it must not panic or read out of bounds.
    #[test]
    fn decode_of_arbitrary_bytes_stays_within_bounds(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok((_, payload)) = wire::decode(&bytes) {
            prop_assert!(payload.len() < bytes.len());
        }
    }
}

/// A payload of the maximum UDP size leaves no room for the header; the encoder must report this before the send.
#[test]
fn encode_rejects_a_packet_larger_than_a_datagram() {
    let header = header(1, "10.0.0.1:5".parse().unwrap(), 3, 0);
    assert!(wire::encode(&header, &vec![0; 65_507], &mut Vec::new()).is_err());
}
