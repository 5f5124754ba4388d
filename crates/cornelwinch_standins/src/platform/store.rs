use cornelwinch_types::Name;
use serde_json::{Value, json};

/// One object of the platform.
#[derive(Debug, Clone)]
pub(super) struct Object {
    kind: Name,
    name: Name,
    version: u64,
    revision: u64,
    /// `None` when deleted.
    value: Option<Value>,
}

impl Object {
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn to_json(&self) -> Value {
        json!({
            "kind": &*self.kind,
            "name": &*self.name,
            "version": self.version,
            "revision": self.revision,
            "deleted": self.value.is_none(),
            "value": self.value,
        })
    }
}

/// The versioned objects and their order of change.
#[derive(Debug, Default)]
pub(super) struct Store {
    revision: u64,
    objects: Vec<Object>,
    /// Positions in `objects` by kind and name.
    by_name: Vec<usize>,
    /// Revision and position of each object, by ascending revision.
    by_revision: Vec<(u64, usize)>,
}

impl Store {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    fn find(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.by_name.binary_search_by(|&i| {
            let object = &self.objects[i];
            (&*object.kind, &*object.name).cmp(&(kind, name))
        })
    }

    fn position(&self, kind: &str, name: &str) -> Option<usize> {
        self.find(kind, name).ok().map(|at| self.by_name[at])
    }

    /// Returns an object that exists.
    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.position(kind, name)
            .map(|i| &self.objects[i])
            .filter(|object| object.value.is_some())
    }

    /// Writes, or deletes when `value` is `None`, if the object's version is
    /// `version`; an object that does not exist has version 0. Otherwise
    /// returns the present object.
    pub(super) fn update(
        &mut self,
        kind: &str,
        name: &str,
        version: u64,
        value: Option<Value>,
    ) -> Result<&Object, Option<&Object>> {
        let present = self.get(kind, name).map_or(0, |object| object.version);
        // Deleting what does not exist is a conflict too.
        if present != version || (value.is_none() && present == 0) {
            return Err(self.get(kind, name));
        }
        self.revision += 1;
        let revision = self.revision;
        let i = match self.find(kind, name) {
            Ok(at) => {
                let i = self.by_name[at];
                let old = self.objects[i].revision;
                if let Ok(at) = self.by_revision.binary_search_by_key(&old, |row| row.0) {
                    self.by_revision.remove(at);
                }
                i
            }
            Err(at) => {
                let i = self.objects.len();
                self.objects.push(Object {
                    kind: kind.into(),
                    name: name.into(),
                    version: 0,
                    revision: 0,
                    value: None,
                });
                self.by_name.insert(at, i);
                i
            }
        };
        self.by_revision.push((revision, i));
        let object = &mut self.objects[i];
        // The version goes on growing over a deletion, so that a writer that
        // read the object before it was deleted cannot take a new one for it.
        object.version += 1;
        object.revision = revision;
        object.value = value;
        Ok(object)
    }

    /// Lists objects changed after a revision, of the kinds named, or of all
    /// kinds when none is named.
    pub(super) fn list(&self, after: u64, limit: usize, kinds: &[&str]) -> ObjectList {
        let start = self.by_revision.partition_point(|row| row.0 <= after);
        let mut matching = self.by_revision[start..]
            .iter()
            .map(|&(_, i)| &self.objects[i])
            .filter(|object| kinds.is_empty() || kinds.contains(&&*object.kind));
        let objects: Vec<Object> = matching.by_ref().take(limit).cloned().collect();
        let more = matching.next().is_some();
        let revision = match objects.last() {
            Some(last) if more => last.revision,
            _ => self.revision,
        };
        ObjectList {
            revision,
            objects,
            more,
        }
    }
}

/// Part of the store's objects.
pub(super) struct ObjectList {
    revision: u64,
    pub(super) objects: Vec<Object>,
    more: bool,
}

impl ObjectList {
    pub(super) fn to_json(&self) -> Value {
        json!({
            "revision": self.revision,
            "objects": self.objects.iter().map(Object::to_json).collect::<Vec<_>>(),
            "more": self.more,
        })
    }
}
