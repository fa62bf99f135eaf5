//! Bearer tokens from files, compared in constant time.

use std::{collections, fs, io, path};

use subtle::ConstantTimeEq;

/// The accepted tokens and the name that each one authenticates.
///
/// A token file has one `name: token` pair per line; `#` starts a comment. A name
/// may have several tokens, so that tokens can be rotated without a gap.
#[derive(Clone, Default)]
pub struct Tokens {
    pairs: Vec<(String, String)>,
}

impl Tokens {
    /// Reads a token file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or a line is not a `name: token` pair.
    pub fn load(file: &path::Path) -> io::Result<Tokens> {
        Tokens::parse(&fs::read_to_string(file)?)
    }

    /// Reads token pairs from text.
    ///
    /// # Errors
    ///
    /// Fails when a line is not a `name: token` pair.
    pub fn parse(text: &str) -> io::Result<Tokens> {
        let mut pairs = Vec::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let pair = line
                .split_once(':')
                .map(|(name, token)| (name.trim(), token.trim()));
            match pair {
                Some((name, token)) if !name.is_empty() && !token.is_empty() => {
                    pairs.push((name.to_owned(), token.to_owned()));
                }
                _ => {
                    // The line itself is not shown, as it may hold a secret.
                    let message = format!("line {}: expected `name: token`", number + 1);
                    return Err(io::Error::new(io::ErrorKind::InvalidData, message));
                }
            }
        }
        Ok(Tokens { pairs })
    }

    /// Returns the name that a token authenticates.
    ///
    /// All tokens are compared, each in constant time, so that the time taken does not
    /// reveal which one the given token resembles.
    pub fn name_of(&self, token: &str) -> Option<&str> {
        let mut found = None;
        for (name, accepted) in &self.pairs {
            if bool::from(accepted.as_bytes().ct_eq(token.as_bytes())) {
                found = Some(name.as_str());
            }
        }
        found
    }

    /// Returns the first token of a name.
    pub fn token_of(&self, name: &str) -> Option<&str> {
        self.pairs
            .iter()
            .find(|(candidate, _)| candidate == name)
            .map(|(_, token)| token.as_str())
    }

    /// Returns the names, without their tokens.
    pub fn names(&self) -> collections::BTreeSet<&str> {
        self.pairs.iter().map(|(name, _)| name.as_str()).collect()
    }
}

/// Returns the token of an `Authorization: Bearer` header value, or `None` if the
/// value has another form.
pub fn bearer(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
