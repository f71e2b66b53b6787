//! The objects of a stand-in platform and their versions.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use dandeliondeal_types::{ObjectName, ObjectValue, PutCondition, Version};
use serde::{Deserialize, Serialize};

/// One write that took effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlatformEntry {
    /// `put`, `delete`, `put-instance` or `delete-instance`.
    pub call: Arc<str>,
    /// The object or instance.
    pub name: ObjectName,
    /// Its version after the write; 0 for instances.
    pub version: Version,
}

/// The condition of a write did not hold; the object has this version now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct FailedCondition(pub(crate) Option<Version>);

/// Objects with versions that only rise, also over a deletion.
#[derive(Debug, Default)]
pub(crate) struct ObjectTable {
    objects: BTreeMap<ObjectName, (Version, Arc<str>)>,
    version: Version,
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

    /// The version of an object, 0 if it does not exist.
    pub(crate) fn version(&self, name: &str) -> Version {
        self.objects.get(name).map_or(0, |(version, _)| *version)
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
    ) -> Result<Version, FailedCondition> {
        self.check(name, condition)?;
        self.version += 1;
        self.objects.insert(name.into(), (self.version, body));
        self.record("put", name, self.version);
        Ok(self.version)
    }

    pub(crate) fn delete(&mut self, name: &str, version: Version) -> Result<(), FailedCondition> {
        self.check(name, PutCondition::Version(version))?;
        self.version += 1;
        self.objects.remove(name);
        self.record("delete", name, self.version);
        Ok(())
    }

    pub(crate) fn record(&mut self, call: &str, name: &str, version: Version) {
        self.ledger.push(PlatformEntry {
            call: call.into(),
            name: name.into(),
            version,
        });
    }

    fn check(&self, name: &str, condition: PutCondition) -> Result<(), FailedCondition> {
        let found = self.objects.get(name).map(|(version, _)| *version);
        let expected = match condition {
            PutCondition::Absent => None,
            PutCondition::Version(version) => Some(version),
        };
        if found == expected {
            Ok(())
        } else {
            Err(FailedCondition(found))
        }
    }
}
