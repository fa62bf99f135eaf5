//! Shared immutable strings for names and identifiers.

use std::{borrow, fmt, ops, sync};

use serde::{Deserialize, Serialize};

/// An immutable name that is cheap to clone.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(sync::Arc<str>);

impl Name {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for Name {
    fn default() -> Self {
        Name::from("")
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Name(sync::Arc::from(text))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Name(sync::Arc::from(text))
    }
}

impl borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl ops::Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
