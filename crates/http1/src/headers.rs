//! Functions that read headers of requests and of responses.

use crate::error::MessageError;
use httparse::Header;

/// Returns the value of `Content-Length`, if the header is present. A value too large for `usize` becomes `usize::MAX`.
///
/// # Errors
/// Fails if the header is repeated or is not a number.
pub fn content_length(headers: &[Header<'_>]) -> Result<Option<usize>, MessageError> {
    let mut values = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("content-length"))
        .map(|h| h.value);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let is_repeated = values.next().is_some();
    if is_repeated || value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(MessageError::ContentLength);
    }
    let digits = std::str::from_utf8(value).map_err(|_| MessageError::ContentLength)?;
    Ok(Some(digits.parse().unwrap_or(usize::MAX)))
}

/// Returns the value of the first header named `name`, if it is valid UTF-8.
pub fn find_header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok()
}

/// Returns whether `Connection: close` announces that the sender closes the connection after this message.
pub fn announces_close(headers: &[Header<'_>]) -> bool {
    let options = find_header(headers, "connection").unwrap_or("");
    options
        .split(',')
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}
