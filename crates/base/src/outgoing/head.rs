//! Checks of the head of a response.

use hyper::{HeaderMap, Response, StatusCode, Version, header};
use strum::IntoStaticStr;

/// Why the head of a response is not valid. The snake-case name is used in logs.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Invalid {
    /// The status is not that of a final response. The HTTP library takes all from 100 to
    /// 999, and 101 for a final one.
    Status,
    /// The body has a transfer encoding other than chunks.
    Encoding,
    /// The length is not a number, there are different ones, or it is that of a body where
    /// none is allowed.
    Length,
}

/// Checks that the head of a response states a final status and says where the body ends
/// in one way only. Afterwards a length that was repeated is stated once, and the version
/// is that of this program: under an older one the body would be passed on without chunks,
/// and a part of it would look whole to the caller.
///
/// # Errors
///
/// Fails if the response must not be passed on.
pub fn normalize_head<B>(response: &mut Response<B>) -> Result<(), Invalid> {
    let status = response.status();
    if !(200..600).contains(&status.as_u16()) {
        return Err(Invalid::Status);
    }
    *response.version_mut() = Version::HTTP_11;
    let headers = response.headers_mut();
    let is_chunked = is_chunked(headers)?;
    let length = stated_length(headers)?;
    // One with status 304 may state the length that another response would have.
    if status == StatusCode::NO_CONTENT {
        if is_chunked {
            return Err(Invalid::Encoding);
        }
        if length.is_some_and(|length| length > 0) {
            return Err(Invalid::Length);
        }
    }
    if let Some(length) = length {
        headers.insert(header::CONTENT_LENGTH, header::HeaderValue::from(length));
    }
    Ok(())
}

/// Returns whether the body is sent in chunks. Another encoding would be removed with its
/// header, which is for one connection, and the caller would get encoded bytes.
fn is_chunked(headers: &HeaderMap) -> Result<bool, Invalid> {
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let first = values.next();
    let is_chunked =
        |value: &header::HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    match values.next().is_none() && first.is_none_or(is_chunked) {
        true => Ok(first.is_some()),
        false => Err(Invalid::Encoding),
    }
}

/// Returns the length that all values of the header state.
fn stated_length(headers: &HeaderMap) -> Result<Option<u64>, Invalid> {
    let mut stated = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let text = value.to_str().map_err(|_| Invalid::Length)?;
        for part in text.split(',') {
            let length = parse_length(part.trim()).ok_or(Invalid::Length)?;
            if *stated.get_or_insert(length) != length {
                return Err(Invalid::Length);
            }
        }
    }
    Ok(stated)
}

/// Parses digits only: `u64` accepts a sign as well.
fn parse_length(text: &str) -> Option<u64> {
    let has_digits_only = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| has_digits_only)
}
