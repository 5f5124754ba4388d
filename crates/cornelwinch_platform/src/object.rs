use std::net::SocketAddr;

use cornelwinch_config::{Entry, EntryValue, Kind};
use cornelwinch_types::{JsonText, Name, Revision};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use snafu::Snafu;

/// An object as the platform returns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind of the object.
    pub kind: Name,
    /// Name of the object, unique within its kind.
    pub name: Name,
    /// Version of the object, starting at 1.
    pub version: u64,
    /// Revision of the store at the last change.
    pub revision: Revision,
    /// True for the tombstone of a deleted object.
    #[serde(default)]
    pub deleted: bool,
    /// Contents; `None` for a deleted object.
    pub value: Option<Value>,
}

impl Object {
    /// Identifier of the last change, chosen by its writer.
    pub fn change(&self) -> Option<&str> {
        self.value.as_ref()?.get("change")?.as_str()
    }

    /// Contents without the identifier of the change.
    pub fn spec(&self) -> Option<&Value> {
        self.value.as_ref()?.get("spec")
    }

    /// Converts the object to a configuration entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the object is of another kind or its contents do
    /// not fit the kind.
    pub fn to_entry(&self) -> Result<Entry, InvalidObject> {
        let kind: Kind = self.kind.parse().map_err(|e| self.invalid(&e))?;
        let value = if self.deleted {
            EntryValue::deleted(kind)
        } else {
            let spec = self
                .spec()
                .ok_or_else(|| self.invalid(&"the value has no key \"spec\""))?;
            EntryValue::from_spec(kind, spec.clone()).map_err(|e| self.invalid(&e))?
        };
        Ok(Entry {
            name: self.name.clone(),
            revision: self.revision,
            change: self.change().unwrap_or_default().into(),
            value,
        })
    }

    fn invalid(&self, problem: &impl ToString) -> InvalidObject {
        InvalidObject {
            kind: self.kind.clone(),
            name: self.name.clone(),
            revision: self.revision,
            problem: problem.to_string(),
        }
    }
}

/// The value that the platform stores for an entry; null for a deleted one.
///
/// # Errors
///
/// Returns an error if the contents have no JSON form.
pub fn entry_value(entry: &Entry) -> Result<Value, serde_json::Error> {
    if entry.is_deleted() {
        return Ok(Value::Null);
    }
    Ok(json!({ "change": entry.change, "spec": entry.value.to_spec()? }))
}

/// An object that is no valid configuration entry.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{kind} \"{name}\" at revision {revision}: {problem}"))]
pub struct InvalidObject {
    /// Kind of the object.
    pub kind: Name,
    /// Name of the object.
    pub name: Name,
    /// Revision of the object's last change.
    pub revision: Revision,
    /// What is wrong with the contents.
    pub problem: String,
}

/// Objects that changed after a revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Listing {
    /// Revision up to which the objects are complete.
    pub revision: Revision,
    /// Objects by ascending revision, deleted ones included.
    pub objects: Vec<Object>,
    /// Reports whether the platform has more changes to list.
    pub more: bool,
    /// Reasons for which objects were left out whose kind, name, version or revision cannot be
    /// decoded.
    pub unreadable: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct RawListing<'a> {
    revision: Revision,
    #[serde(borrow)]
    objects: Vec<&'a RawValue>,
    #[serde(default)]
    more: bool,
}

#[derive(Debug, Deserialize)]
struct RawObject<'a> {
    kind: Name,
    name: Name,
    version: u64,
    revision: Revision,
    #[serde(default)]
    deleted: bool,
    #[serde(borrow)]
    value: Option<&'a RawValue>,
}

impl Listing {
    /// Decodes a list. Each object is decoded separately: the value of one that cannot be decoded
    /// is `None`, and the others are as they were sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the structure around the objects is invalid.
    pub fn decode(body: &[u8]) -> Result<Self, serde_json::Error> {
        let text = JsonText::new(body);
        let list: RawListing<'_> = serde_json::from_str(text.as_str())?;
        let mut listing = Self {
            revision: list.revision,
            more: list.more,
            ..Self::default()
        };
        for raw in list.objects {
            match serde_json::from_str::<RawObject<'_>>(raw.get()) {
                Ok(raw) => listing.objects.push(raw.decode(&text)),
                Err(error) => listing.unreadable.push(error.to_string()),
            }
        }
        Ok(listing)
    }

    /// Configuration entries of the list, and objects of configuration kinds
    /// that are no valid entries. Other kinds are left out.
    pub fn entries(&self) -> (Vec<Entry>, Vec<InvalidObject>) {
        let mut entries = Vec::with_capacity(self.objects.len());
        let mut invalid = Vec::new();
        for object in &self.objects {
            if object.kind.parse::<Kind>().is_err() {
                continue;
            }
            match object.to_entry() {
                Ok(entry) => entries.push(entry),
                Err(e) => invalid.push(e),
            }
        }
        (entries, invalid)
    }
}

impl RawObject<'_> {
    fn decode(self, text: &JsonText<'_>) -> Object {
        let value = self.value.map(RawValue::get);
        let value = value.filter(|value| text.is_intact(value));
        Object {
            kind: self.kind,
            name: self.name,
            version: self.version,
            revision: self.revision,
            deleted: self.deleted,
            value: value.and_then(|value| serde_json::from_str(value).ok()),
        }
    }
}

/// Role of a host on the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// An entry host.
    Host,
    /// A host of an upstream.
    Upstream,
}

/// State of a host on the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// A host on the platform's list, which lags behind its real state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformHost {
    /// Name of the host.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Role of the host.
    pub role: HostRole,
    /// TCP address for peers; entry hosts only.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// UDP address for membership datagrams; entry hosts only.
    #[serde(default)]
    pub gossip: Option<SocketAddr>,
    /// Listed state.
    pub state: HostState,
}
