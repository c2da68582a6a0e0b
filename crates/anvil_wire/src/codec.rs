//! The encoding of messages: a length of four bytes in little-endian order, then the message in bincode.
//!
//! Long messages are compressed with deflate, marked by the highest bit of the length. A routing table
//! of 415 KB is sent to every replica and every router, and compresses to about a fortieth.

use std::io::{Read, Write};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

use crate::error::{DecodeSnafu, DeflateSnafu, EncodeSnafu, TooLargeSnafu, WireError};

/// Maximum size of a message, in bytes: enough for the largest settings tree the design allows for.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

const LENGTH_BYTES: usize = 4;
/// Bit set in the length of a compressed message.
const DEFLATED_BIT: u32 = 1 << 31;
/// Minimum length of messages that are compressed, in bytes. Below it, the overhead of network frames and
/// the time for compression cost more than the saved bytes.
const DEFLATE_MIN_BYTES: usize = 8 << 10;

/// Encodes one message with its length in front.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, WireError> {
    let mut buf = BytesMut::with_capacity(256);
    buf.put_u32_le(0);
    let mut writer = buf.writer();
    let written =
        bincode::serde::encode_into_std_write(message, &mut writer, bincode::config::standard())
            .context(EncodeSnafu)?;
    ensure!(
        written <= MAX_MESSAGE_BYTES,
        TooLargeSnafu { bytes: written }
    );
    let mut buf = writer.into_inner();
    let mut deflated_bit = 0;
    if written >= DEFLATE_MIN_BYTES {
        let deflated = deflate(&buf[LENGTH_BYTES..])?;
        buf.truncate(LENGTH_BYTES);
        buf.extend_from_slice(&deflated);
        deflated_bit = DEFLATED_BIT;
    }
    let length = u32::try_from(buf.len() - LENGTH_BYTES).unwrap_or(u32::MAX);
    buf[..LENGTH_BYTES].copy_from_slice(&(length | deflated_bit).to_le_bytes());
    Ok(buf.freeze())
}

fn deflate(body: &[u8]) -> Result<Vec<u8>, WireError> {
    let mut writer = DeflateEncoder::new(Vec::new(), Compression::fast());
    writer.write_all(body).context(DeflateSnafu)?;
    writer.finish().context(DeflateSnafu)
}

/// Decompresses a message. Stops beyond the maximum message size, so that a few bytes can't exhaust the
/// memory.
fn inflate(body: &[u8]) -> Result<Vec<u8>, WireError> {
    let read_limit = MAX_MESSAGE_BYTES as u64 + 1;
    let mut bytes = Vec::new();
    let mut reader = DeflateDecoder::new(body).take(read_limit);
    reader.read_to_end(&mut bytes).context(DeflateSnafu)?;
    ensure!(
        bytes.len() <= MAX_MESSAGE_BYTES,
        TooLargeSnafu { bytes: bytes.len() }
    );
    Ok(bytes)
}

/// Removes the first complete message from `buf` and decodes it; `None` while more bytes are needed.
pub fn decode<T: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<T>, WireError> {
    let Some(head) = buf.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let head = u32::from_le_bytes(*head);
    let deflated = head & DEFLATED_BIT != 0;
    let length = usize::try_from(head & !DEFLATED_BIT).unwrap_or(usize::MAX);
    ensure!(length <= MAX_MESSAGE_BYTES, TooLargeSnafu { bytes: length });
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    let mut body = buf.split_to(length).freeze();
    if deflated {
        body = inflate(&body)?.into();
    }
    let (message, _) = bincode::serde::decode_from_slice(&body, bincode::config::standard())
        .context(DecodeSnafu)?;
    Ok(Some(message))
}
