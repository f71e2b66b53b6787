//! Secret text that must not appear in logs.

use std::fmt;
use std::sync::Arc;

/// Secret from the settings, whose `Debug` output hides the content.
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

    /// Returns the secret itself, for a comparison or a header.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns whether no secret is set.
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
