//! Parts that all frames' layouts share: names, fixed parts and lists of entries. Integers are little-endian, and
//! nothing is aligned.

use zerocopy::{FromBytes, Immutable, KnownLayout};

use super::FrameError;

/// Bytes of a node's name.
pub(super) const NODE_NAME_BYTES: usize = 64;
/// Bytes of a job's name; `is_job_id` allows fewer.
pub(super) const JOB_NAME_BYTES: usize = 32;

/// The name, padded with zeros, or cut off where it is too long.
pub(super) fn name_field<const N: usize>(name: &str) -> [u8; N] {
    let mut field = [0u8; N];
    let length = name.len().min(N);
    field[..length].copy_from_slice(&name.as_bytes()[..length]);
    field
}

/// The name in a field; `None` where it is empty or no text.
pub(super) fn optional_name(field: &[u8]) -> Option<String> {
    let end = field.iter().position(|&byte| byte == 0).unwrap_or(field.len());
    std::str::from_utf8(&field[..end]).ok().filter(|name| !name.is_empty()).map(str::to_owned)
}

/// The name in a field that has to hold one.
pub(super) fn name(field: &[u8]) -> Result<String, FrameError> {
    optional_name(field).ok_or(FrameError::BadName)
}

/// The fixed part at the beginning of a body, and the rest.
pub(super) fn fixed_part<T: FromBytes + KnownLayout + Immutable>(
    body: &[u8],
) -> Result<(T, &[u8]), FrameError> {
    T::read_from_prefix(body)
        .map_err(|_| FrameError::BodyTooShort { length: body.len(), least: size_of::<T>() })
}

/// Entries of one size, up to the end of the frame.
pub(super) fn entries<T: FromBytes + KnownLayout + Immutable>(
    bytes: &[u8],
) -> Result<impl Iterator<Item = T> + '_, FrameError> {
    let entry_size = size_of::<T>();
    if !bytes.len().is_multiple_of(entry_size) {
        return Err(FrameError::PartialEntry { length: bytes.len(), entry_size });
    }
    Ok(bytes.chunks_exact(entry_size).filter_map(|entry| T::read_from_bytes(entry).ok()))
}
