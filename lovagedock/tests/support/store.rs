//! An in-memory object store with conditional writes.

use std::collections::BTreeMap;

use bytes::Bytes;
use lovagedock::{ObjectName, ObjectVersion, ReadOutcome, WriteCondition, WriteOutcome};

/// Objects by name.
#[derive(Debug, Default)]
pub(crate) struct FakeStore {
    objects: BTreeMap<ObjectName, (ObjectVersion, Bytes)>,
    last_version: ObjectVersion,
}

impl FakeStore {
    /// Reads an object.
    pub(crate) fn read(&self, object: &ObjectName) -> ReadOutcome {
        match self.objects.get(object) {
            None => ReadOutcome::Absent,
            Some((version, bytes)) => ReadOutcome::Found {
                version: *version,
                bytes: bytes.clone(),
            },
        }
    }

    /// Writes an object if the condition holds.
    pub(crate) fn write(
        &mut self,
        object: &ObjectName,
        condition: WriteCondition,
        bytes: Bytes,
    ) -> WriteOutcome {
        let version = self.objects.get(object).map(|(version, _)| *version);
        let holds = match condition {
            WriteCondition::Absent => version.is_none(),
            WriteCondition::Version(expected) => version == Some(expected),
            WriteCondition::Always => true,
        };
        if !holds {
            return WriteOutcome::Conflict;
        }
        self.last_version += 1;
        self.objects
            .insert(object.clone(), (self.last_version, bytes));
        WriteOutcome::Applied(self.last_version)
    }

    /// Deletes an object.
    pub(crate) fn delete(&mut self, object: &ObjectName) -> WriteOutcome {
        self.last_version += 1;
        self.objects.remove(object);
        WriteOutcome::Applied(self.last_version)
    }

    /// Names of all objects.
    pub(crate) fn names(&self) -> Vec<ObjectName> {
        self.objects.keys().cloned().collect()
    }

    /// Size of the largest object, in bytes.
    pub(crate) fn largest(&self) -> usize {
        let sizes = self.objects.values().map(|(_, bytes)| bytes.len());
        sizes.max().unwrap_or(0)
    }
}
