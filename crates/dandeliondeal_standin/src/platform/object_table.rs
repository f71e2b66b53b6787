//! The versioned objects of a stand-in platform.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use dandeliondeal_types::{ObjectName, ObjectValue, PutCondition, StoreVersion};
use serde::{Deserialize, Serialize};

/// Ledger entry for one write that took effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlatformEntry {
    /// Kind of write: `put`, `delete`, `put-instance` or `delete-instance`.
    pub call: Arc<str>,
    /// Name of the object, or id of the instance.
    pub name: ObjectName,
    /// Version that the write assigned; 0 for instances.
    pub version: StoreVersion,
}

/// Error of a write whose condition is not met, with the current version of the object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct FailedCondition(pub(crate) Option<StoreVersion>);

/// Objects with versions that always increase, even if an object is deleted and created again.
#[derive(Debug, Default)]
pub(crate) struct ObjectTable {
    objects: BTreeMap<ObjectName, (StoreVersion, Arc<str>)>,
    last_version: StoreVersion,
    pub(crate) ledger: Vec<PlatformEntry>,
}

impl ObjectTable {
    pub(crate) fn get(&self, name: &str) -> Option<ObjectValue> {
        let (name, (version, body)) = self.objects.get_key_value(name)?;
        Some(ObjectValue {
            name: Arc::clone(name),
            version: *version,
            body: Arc::clone(body),
        })
    }

    /// Returns the version of an object, or 0 if it does not exist.
    pub(crate) fn version(&self, name: &str) -> StoreVersion {
        self.objects
            .get(name)
            .map_or_else(StoreVersion::default, |(version, _)| *version)
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<ObjectValue> {
        self.objects
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(|(name, _)| name.starts_with(prefix))
            .map(|(name, (version, body))| ObjectValue {
                name: Arc::clone(name),
                version: *version,
                body: Arc::clone(body),
            })
            .collect()
    }

    pub(crate) fn put(
        &mut self,
        name: &str,
        condition: PutCondition,
        body: Arc<str>,
    ) -> Result<StoreVersion, FailedCondition> {
        self.check_condition(name, condition)?;
        self.last_version = self.last_version.next();
        self.objects.insert(name.into(), (self.last_version, body));
        self.append_to_ledger("put", name, self.last_version);
        Ok(self.last_version)
    }

    pub(crate) fn delete(
        &mut self,
        name: &str,
        version: StoreVersion,
    ) -> Result<(), FailedCondition> {
        self.check_condition(name, PutCondition::Version(version))?;
        self.last_version = self.last_version.next();
        self.objects.remove(name);
        self.append_to_ledger("delete", name, self.last_version);
        Ok(())
    }

    pub(crate) fn append_to_ledger(&mut self, call: &str, name: &str, version: StoreVersion) {
        self.ledger.push(PlatformEntry {
            call: call.into(),
            name: name.into(),
            version,
        });
    }

    fn check_condition(&self, name: &str, condition: PutCondition) -> Result<(), FailedCondition> {
        let current_version = self.objects.get(name).map(|(version, _)| *version);
        let expected_version = match condition {
            PutCondition::Absent => None,
            PutCondition::Version(version) => Some(version),
        };
        if current_version == expected_version {
            Ok(())
        } else {
            Err(FailedCondition(current_version))
        }
    }
}
