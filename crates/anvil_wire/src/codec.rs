//! Messages as bytes: bincode behind a length of four bytes, little end first.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

use crate::error::{DecodeSnafu, EncodeSnafu, TooLargeSnafu, WireError};

/// Largest message, in bytes: a full settings tree of the design size with room to spare.
pub const MAX_MESSAGE: usize = 64 << 20;

const LENGTH_BYTES: usize = 4;

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
    let length = u32::try_from(written).unwrap_or(u32::MAX);
    buf[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(buf.freeze())
}

/// Takes the first whole message out of what has arrived; `None` while more bytes are needed.
pub fn decode<T: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<T>, WireError> {
    let Some(head) = buf.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_le_bytes(*head)).unwrap_or(usize::MAX);
    ensure!(length <= MAX_MESSAGE, TooLargeSnafu { bytes: length });
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    let body = buf.split_to(length);
    let (message, _) = bincode::serde::decode_from_slice(&body, bincode::config::standard())
        .context(DecodeSnafu)?;
    Ok(Some(message))
}
