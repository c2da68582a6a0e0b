//! Messages as bytes: bincode behind a length of four bytes, little end first.
//!
//! Long messages are deflated; the highest bit of the length says so. A routing table of 415 KB
//! goes to every replica and every router, and shrinks to about a fortieth.

use std::io::{Read, Write};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

use crate::error::{DecodeSnafu, DeflateSnafu, EncodeSnafu, TooLargeSnafu, WireError};

/// Largest message, in bytes: a full settings tree of the design size with room to spare.
pub const MAX_MESSAGE: usize = 64 << 20;

const LENGTH_BYTES: usize = 4;
/// Set in the length of a message that is deflated.
const DEFLATED: u32 = 1 << 31;
/// Messages are deflated from this length on, in bytes: below it the frames of the network and the
/// time for it cost more than the bytes that are saved.
const DEFLATE_FROM: usize = 8 << 10;

/// Writes one message behind its length.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, WireError> {
    let mut buf = BytesMut::with_capacity(256);
    buf.put_u32_le(0);
    let mut writer = buf.writer();
    let written =
        bincode::serde::encode_into_std_write(message, &mut writer, bincode::config::standard())
            .context(EncodeSnafu)?;
    ensure!(written <= MAX_MESSAGE, TooLargeSnafu { bytes: written });
    let mut buf = writer.into_inner();
    let mut mark = 0;
    if written >= DEFLATE_FROM {
        let deflated = deflate(&buf[LENGTH_BYTES..])?;
        buf.truncate(LENGTH_BYTES);
        buf.extend_from_slice(&deflated);
        mark = DEFLATED;
    }
    let length = u32::try_from(buf.len() - LENGTH_BYTES).unwrap_or(u32::MAX);
    buf[..LENGTH_BYTES].copy_from_slice(&(length | mark).to_le_bytes());
    Ok(buf.freeze())
}

fn deflate(body: &[u8]) -> Result<Vec<u8>, WireError> {
    let mut writer = DeflateEncoder::new(Vec::new(), Compression::fast());
    writer.write_all(body).context(DeflateSnafu)?;
    writer.finish().context(DeflateSnafu)
}

/// Never gives back more than the longest message: a few bytes must not fill the memory.
fn inflate(body: &[u8]) -> Result<Vec<u8>, WireError> {
    let most = MAX_MESSAGE as u64 + 1;
    let mut bytes = Vec::new();
    let mut reader = DeflateDecoder::new(body).take(most);
    reader.read_to_end(&mut bytes).context(DeflateSnafu)?;
    ensure!(
        bytes.len() <= MAX_MESSAGE,
        TooLargeSnafu { bytes: bytes.len() }
    );
    Ok(bytes)
}

/// Takes the first whole message out of what has arrived; `None` while more bytes are needed.
pub fn decode<T: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<T>, WireError> {
    let Some(head) = buf.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let head = u32::from_le_bytes(*head);
    let deflated = head & DEFLATED != 0;
    let length = usize::try_from(head & !DEFLATED).unwrap_or(usize::MAX);
    ensure!(length <= MAX_MESSAGE, TooLargeSnafu { bytes: length });
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
