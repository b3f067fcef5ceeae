//! Reads unsigned integers in network byte order.

/// Reads the 3-byte integer at `offset`.
pub(super) fn u24_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes([0, bytes[offset], bytes[offset + 1], bytes[offset + 2]])
}

/// Reads the 4-byte integer at `offset`.
pub(super) fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes([
        bytes[offset],
        bytes[offset + 1],
        bytes[offset + 2],
        bytes[offset + 3],
    ])
}
