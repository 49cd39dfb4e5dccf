//! Versioned object table without I/O, shared by the in-memory store and the simulated platform.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::store::{
    ChangeBatch, MAX_VALUE_BYTES, ObjectEntry, ObjectVersion, PutCondition, Revision, StoreError,
    StoredObject, is_valid_key,
};

/// Objects by key with the revision of their last change.
#[derive(Clone, Debug, Default)]
pub struct ObjectTable {
    revision: Revision,
    objects: BTreeMap<String, ObjectSlot>,
}

/// State of one key. A deleted object keeps its slot so that watches report the deletion.
#[derive(Clone, Debug)]
struct ObjectSlot {
    changed: Revision,
    value: Option<Bytes>,
}

impl ObjectTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision of the last change to any key.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Reads one object.
    pub fn get(&self, key: &str) -> Option<StoredObject> {
        let slot = self.objects.get(key)?;
        let value = slot.value.clone()?;
        Some(StoredObject {
            key: key.to_owned(),
            version: slot.changed,
            value,
        })
    }

    /// Writes one object if the condition holds.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        condition: PutCondition,
    ) -> Result<ObjectVersion, StoreError> {
        if !is_valid_key(key) {
            return Err(StoreError::Malformed);
        }
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        self.check_condition(key, condition)?;
        Ok(self.change(key, Some(value)))
    }

    /// Deletes one object if the condition holds.
    pub fn delete(&mut self, key: &str, condition: PutCondition) -> Result<(), StoreError> {
        if !is_valid_key(key) {
            return Err(StoreError::Malformed);
        }
        self.check_condition(key, condition)?;
        if self.version(key).is_some() {
            self.change(key, None);
        }
        Ok(())
    }

    /// Lists the objects whose keys begin with `prefix`.
    pub fn list(&self, prefix: &str) -> Vec<ObjectEntry> {
        self.slots_with_prefix(prefix)
            .filter_map(|(key, slot)| {
                let value = slot.value.as_ref()?;
                Some(ObjectEntry {
                    key: key.clone(),
                    version: slot.changed,
                    size: value.len() as u64,
                })
            })
            .collect()
    }

    /// Keys under `prefix` that changed after a revision.
    pub fn changes(&self, prefix: &str, after: Revision) -> ChangeBatch {
        let keys = self
            .slots_with_prefix(prefix)
            .filter(|(_, slot)| slot.changed > after)
            .map(|(key, _)| key.clone())
            .collect();
        ChangeBatch {
            revision: self.revision,
            keys,
        }
    }

    fn slots_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a ObjectSlot)> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    fn version(&self, key: &str) -> Option<ObjectVersion> {
        let slot = self.objects.get(key)?;
        slot.value.as_ref().map(|_| slot.changed)
    }

    fn check_condition(&self, key: &str, condition: PutCondition) -> Result<(), StoreError> {
        let current = self.version(key);
        let holds = match condition {
            PutCondition::Any => true,
            PutCondition::Absent => current.is_none(),
            PutCondition::Version(version) => current == Some(version),
        };
        if holds {
            return Ok(());
        }
        Err(StoreError::Conflict { current })
    }

    fn change(&mut self, key: &str, value: Option<Bytes>) -> ObjectVersion {
        self.revision += 1;
        let slot = ObjectSlot {
            changed: self.revision,
            value,
        };
        self.objects.insert(key.to_owned(), slot);
        self.revision
    }
}
