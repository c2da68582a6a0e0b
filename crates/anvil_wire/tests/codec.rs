//! Tests of the encoding of short and long messages.

use anvil_wire::{MAX_MESSAGE_BYTES, decode, encode};
use bytes::{BufMut, BytesMut};

/// A routing table with thousands of similar routes is sent to hundreds of processes over links with
/// little bandwidth. Uncompressed, it would delay new settings everywhere.
#[test]
fn long_messages_are_compressed_and_decoded_unchanged() {
    let route = r#"{"name":"r-1","hostname":"a.example","path_prefix":"/x/","attempts":2},"#;
    let long = route.repeat(6_000);
    let bytes = encode(&long).expect("encoded");
    assert!(
        bytes.len() < long.len() / 20,
        "{} of {}",
        bytes.len(),
        long.len()
    );
    let mut buf = BytesMut::from(&bytes[..]);
    buf.extend_from_slice(&encode(&"next".to_owned()).expect("encoded"));
    assert_eq!(decode::<String>(&mut buf).expect("decoded"), Some(long));
    assert_eq!(
        decode::<String>(&mut buf).expect("decoded"),
        Some("next".into())
    );
    assert_eq!(decode::<String>(&mut buf).expect("decoded"), None);
}

/// A few bytes that decompress to more than the maximum message size must be refused, or they would
/// exhaust the receiver's memory.
#[test]
fn message_that_decompresses_beyond_the_maximum_size_is_refused() {
    let oversized = vec![0_u8; MAX_MESSAGE_BYTES + 1_000_000];
    let mut deflated = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    std::io::Write::write_all(&mut deflated, &oversized).expect("compressed");
    let deflated = deflated.finish().expect("compressed");
    let mut buf = BytesMut::new();
    buf.put_u32_le(u32::try_from(deflated.len()).expect("short") | 1 << 31);
    buf.extend_from_slice(&deflated);
    assert!(decode::<Vec<u8>>(&mut buf).is_err());
}
