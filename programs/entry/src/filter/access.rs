//! Checks the credentials of a request and determines its team.

use bw_base::access;
use bw_wire::{name, refusal};
use gotham::http;

use crate::settings;

/// The team of requests without a token if no tokens are configured.
const DEFAULT_TEAM: &str = "default";
/// The longest token, in bytes, that is used as the name of a team if no tokens
/// are configured.
const MAX_TEAM_BYTES: usize = 64;

/// Returns the team of a caller. If no tokens are configured, the caller's token
/// is the name of its team.
///
/// # Errors
///
/// Refuses missing and wrong credentials.
pub fn team(
    credentials: &settings::Credentials,
    headers: &http::HeaderMap,
) -> Result<name::Name, refusal::Refusal> {
    let token = token(headers);
    let Some(tokens) = &credentials.callers else {
        let token = token.filter(|token| !token.is_empty() && token.len() <= MAX_TEAM_BYTES);
        return Ok(token.unwrap_or(DEFAULT_TEAM).into());
    };
    token
        .and_then(|token| tokens.name_of(token))
        .map(name::Name::from)
        .ok_or_else(unauthorized)
}

/// Checks the token against those that are accepted, if any are configured.
///
/// # Errors
///
/// Refuses missing and wrong credentials.
pub fn check(
    tokens: &Option<access::Tokens>,
    headers: &http::HeaderMap,
) -> Result<(), refusal::Refusal> {
    let Some(tokens) = tokens else {
        return Ok(());
    };
    let known = token(headers).and_then(|token| tokens.name_of(token));
    known.map(drop).ok_or_else(unauthorized)
}

fn token(headers: &http::HeaderMap) -> Option<&str> {
    let value = headers.get(http::header::AUTHORIZATION)?;
    access::bearer(value.to_str().ok()?)
}

fn unauthorized() -> refusal::Refusal {
    let message = "the credentials are missing or wrong";
    refusal::Refusal::not_run(refusal::Reason::Unauthorized, message)
}
