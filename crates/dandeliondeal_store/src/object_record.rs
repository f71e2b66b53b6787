//! Object as encoded in the platform's list answers.

use std::sync::Arc;

use dandeliondeal_types::{ObjectName, ObjectValue, StoreVersion};
use serde::Deserialize;

/// Entry of a list answer.
#[derive(Debug, Deserialize)]
pub(crate) struct ObjectRecord {
    name: ObjectName,
    version: StoreVersion,
    body: Arc<str>,
}

impl ObjectRecord {
    /// Converts the entry to an object value.
    pub(crate) fn into_value(self) -> ObjectValue {
        ObjectValue {
            name: self.name,
            version: self.version,
            body: self.body,
        }
    }
}
