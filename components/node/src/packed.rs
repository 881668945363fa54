//! Compressed documents for peers, as zlib data (RFC 1950).

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Longest document in bytes, as long as the longest response of the store.
const MAX_DOCUMENT_BYTES: u64 = 64 << 20;

/// Compresses a document.
#[must_use]
pub fn pack(document: &[u8]) -> Bytes {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(document).and_then(|()| encoder.finish());
    // Writing to memory does not fail.
    packed.unwrap_or_default().into()
}

/// Restores a document.
///
/// # Errors
/// Returns an error if the data are no compressed document of at most `MAX_DOCUMENT_BYTES`.
pub fn unpack(packed: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut document = Vec::new();
    let mut decoder = ZlibDecoder::new(packed).take(MAX_DOCUMENT_BYTES + 1);
    decoder.read_to_end(&mut document)?;
    if document.len() as u64 > MAX_DOCUMENT_BYTES {
        return Err(std::io::ErrorKind::FileTooLarge.into());
    }
    Ok(document)
}
