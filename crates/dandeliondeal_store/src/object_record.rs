//! An object as the platform's list gives it.

use std::sync::Arc;

use dandeliondeal_types::{ObjectName, ObjectValue, Version};
use serde::Deserialize;

/// One entry of a list answer.
#[derive(Debug, Deserialize)]
pub(crate) struct ObjectRecord {
    name: ObjectName,
    version: Version,
    body: Arc<str>,
}

impl ObjectRecord {
    /// The object.
    pub(crate) fn into_value(self) -> ObjectValue {
        ObjectValue {
            name: self.name,
            version: self.version,
            body: self.body,
        }
    }
}
