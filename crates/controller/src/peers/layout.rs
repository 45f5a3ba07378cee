//! Helpers shared by all frame layouts: name fields, fixed parts and lists of entries. Integers are
//! little-endian, and fields are packed without alignment.

use zerocopy::{FromBytes, Immutable, KnownLayout};

use super::FrameError;

/// Size of a field that holds a node's name, in bytes.
pub(super) const NODE_NAME_BYTES: usize = 64;
/// Size of a field that holds a job's name, in bytes. `is_job_id` accepts only names that fit.
pub(super) const JOB_NAME_BYTES: usize = 32;

/// Encodes a name as a field of `N` bytes: padded with zeros, or truncated if it is too long.
pub(super) fn name_field<const N: usize>(name: &str) -> [u8; N] {
    let mut field = [0u8; N];
    let length = name.len().min(N);
    field[..length].copy_from_slice(&name.as_bytes()[..length]);
    field
}

/// Decodes a name field. Returns `None` if it is empty or not valid UTF-8.
pub(super) fn optional_name(field: &[u8]) -> Option<String> {
    let end = field.iter().position(|&byte| byte == 0).unwrap_or(field.len());
    std::str::from_utf8(&field[..end]).ok().filter(|name| !name.is_empty()).map(str::to_owned)
}

/// Decodes a name field that must not be empty.
pub(super) fn required_name(field: &[u8]) -> Result<String, FrameError> {
    optional_name(field).ok_or(FrameError::BadName)
}

/// Splits a frame's body into its fixed part and the remaining bytes.
pub(super) fn split_fixed_part<T: FromBytes + KnownLayout + Immutable>(
    body: &[u8],
) -> Result<(T, &[u8]), FrameError> {
    T::read_from_prefix(body)
        .map_err(|_| FrameError::BodyTooShort { length: body.len(), min_length: size_of::<T>() })
}

/// Decodes the rest of a frame's body as a list of entries of equal size.
pub(super) fn entries<T: FromBytes + KnownLayout + Immutable>(
    bytes: &[u8],
) -> Result<impl Iterator<Item = T> + '_, FrameError> {
    let entry_size = size_of::<T>();
    if !bytes.len().is_multiple_of(entry_size) {
        return Err(FrameError::PartialEntry { length: bytes.len(), entry_size });
    }
    Ok(bytes.chunks_exact(entry_size).filter_map(|entry| T::read_from_bytes(entry).ok()))
}
