//! Messages as bytes, short and long.

use anvil_wire::{MAX_MESSAGE, decode, encode};
use bytes::{BufMut, BytesMut};

/// A routing table with thousands of alike routes goes to hundreds of processes over thin links,
/// and settings come late everywhere. It shrinks on the way and comes out as it went in.
#[test]
fn long_messages_shrink_and_come_back_whole() {
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

/// A few bytes that inflate to more than the longest message are refused, or they would fill the
/// memory of whoever reads them.
#[test]
fn a_message_that_inflates_without_end_is_refused() {
    let endless = vec![0_u8; MAX_MESSAGE + 1_000_000];
    let mut deflated = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    std::io::Write::write_all(&mut deflated, &endless).expect("deflated");
    let deflated = deflated.finish().expect("deflated");
    let mut buf = BytesMut::new();
    buf.put_u32_le(u32::try_from(deflated.len()).expect("short") | 1 << 31);
    buf.extend_from_slice(&deflated);
    assert!(decode::<Vec<u8>>(&mut buf).is_err());
}
