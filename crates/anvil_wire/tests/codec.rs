//! Tests of the encoding of short and long messages.

use std::collections::BTreeMap;

use anvil_wire::msg::{
    BudgetBalance, FollowEvent, HeldPromptNotice, HeldPromptReply, HeldPromptRequest, LedgerReply,
    PromptCharge, Query, QueryAnswer,
};
use anvil_wire::{MAX_MESSAGE_BYTES, decode, encode};
use anvil_world::prelude::*;
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

/// Guards against a new read of the ledger that changes the encoding of the older ones, which replicas and
/// routers of other builds exchange.
#[test]
fn balances_are_encoded_after_the_older_reads() {
    // The variant's number follows the length, which takes four bytes.
    let variant = |bytes: bytes::Bytes| bytes[4];
    assert_eq!(variant(encode(&Query::Members).expect("encoded")), 8);
    let members = QueryAnswer::Members([].into());
    assert_eq!(variant(encode(&members).expect("encoded")), 7);

    let query = Query::Balances(vec!["nairobi".into()]);
    let bytes = encode(&query).expect("encoded");
    assert_eq!(bytes[4], 9);
    let mut buf = BytesMut::from(&bytes[..]);
    assert_eq!(decode::<Query>(&mut buf).expect("decoded"), Some(query));

    let balance = BudgetBalance {
        left: 700,
        billed: 300,
    };
    let answer = QueryAnswer::Balances([("nairobi".into(), balance)].into());
    let bytes = encode(&answer).expect("encoded");
    assert_eq!(bytes[4], 8);
    let mut buf = BytesMut::from(&bytes[..]);
    assert_eq!(
        decode::<QueryAnswer>(&mut buf).expect("decoded"),
        Some(answer)
    );
}

/// Guards against another order of the messages about held prompts, which routers of two builds
/// exchange during an update: a notice would be read as a charge.
#[test]
fn messages_about_held_prompts_keep_their_encoding() {
    let held = HeldPromptNotice {
        number: 7,
        request: 11,
        client_waits: std::time::Duration::from_secs(2),
    };
    let notify = HeldPromptRequest::Notify {
        origin: "r1".into(),
        incarnation: 3,
        held: vec![held],
    };
    let charge = PromptCharge {
        number: 7,
        request: 11,
        prompt: 200,
    };
    let report = HeldPromptRequest::Report {
        by: "r2".into(),
        incarnation: 3,
        charges: vec![charge],
    };
    for (variant, message) in [(0, notify), (1, report)] {
        let bytes = encode(&message).expect("encoded");
        // The variant's number follows the length, which takes four bytes.
        assert_eq!(bytes[4], variant);
        let mut buf = BytesMut::from(&bytes[..]);
        let decoded = decode::<HeldPromptRequest>(&mut buf).expect("decoded");
        assert_eq!(decoded, Some(message));
    }
    let reply = encode(&HeldPromptReply::Received).expect("encoded");
    assert_eq!(reply[4], 0);
}

/// An event for a router that has no documents.
fn event(shares: Option<Shares>, versions: Option<RecordedVersions>) -> LedgerReply {
    LedgerReply::Follow(FollowEvent::Full {
        version: 7,
        tree: BTreeMap::new(),
        members: BTreeMap::new(),
        fenced: BTreeMap::new(),
        suspects: BTreeMap::new(),
        limits: BTreeMap::new(),
        shares,
        versions,
    })
}

/// Guards against routers that can't read the events of a ledger replica of an earlier build, which
/// end before the versions, or before the shares; and against a change before that place, which an
/// earlier build could not read.
#[test]
fn event_without_its_last_fields_is_read() {
    let mut shares = Shares::default();
    let target = ShareTarget::Organisation("co-op".into());
    shares.set(target, "4".parse().expect("a factor"));
    let mut versions = RecordedVersions::default();
    versions.add(&"desk".into(), &["v1".into()].into());
    let whole = encode(&event(Some(shares.clone()), Some(versions))).expect("encoded");
    let without_versions = event(Some(shares), None);
    for (missing, expected) in [(1, without_versions), (2, event(None, None))] {
        let encoded = encode(&expected).expect("encoded");
        // Each of the last bytes says that a field is missing; the length takes four bytes.
        let previous = &encoded[4..encoded.len() - missing];
        assert_eq!(whole[4..4 + previous.len()], *previous);
        let mut buf = BytesMut::new();
        buf.put_u32_le(u32::try_from(previous.len()).expect("short"));
        buf.extend_from_slice(previous);
        let decoded = decode::<LedgerReply>(&mut buf).expect("decoded");
        assert_eq!(decoded, Some(expected));
    }
}

/// Guards against a new read that changes the encoding of older ones.
#[test]
fn new_reads_are_encoded_after_the_older_ones() {
    let variant = |bytes: bytes::Bytes| bytes[4];
    assert_eq!(variant(encode(&Query::Suspects).expect("encoded")), 10);
    assert_eq!(variant(encode(&Query::Shares).expect("encoded")), 11);
    let suspects = QueryAnswer::Suspects(BTreeMap::new());
    assert_eq!(variant(encode(&suspects).expect("encoded")), 9);
    let shares = QueryAnswer::Shares(Shares::default());
    assert_eq!(variant(encode(&shares).expect("encoded")), 10);
    let origin = Query::StreamOrigin(1);
    assert_eq!(variant(encode(&origin).expect("encoded")), 12);
    let unknown = QueryAnswer::StreamOrigin(None);
    assert_eq!(variant(encode(&unknown).expect("encoded")), 11);
}
