//! Text that must not reach logs.

use std::fmt;
use std::sync::Arc;

/// A secret from the settings; its `Debug` output hides the content.
#[derive(Clone, Default, Eq, PartialEq)]
pub struct SecretText(Arc<str>);

impl SecretText {
    /// Wraps a secret.
    pub fn new<Text>(text: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self(text.into())
    }

    /// The secret itself, for comparison or for a header.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Whether no secret is set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, output: &mut fmt::Formatter<'_>) -> fmt::Result {
        output.write_str(if self.0.is_empty() {
            "SecretText(unset)"
        } else {
            "SecretText(hidden)"
        })
    }
}
