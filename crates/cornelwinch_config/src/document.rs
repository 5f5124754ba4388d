use cornelwinch_types::{Name, Revision};
use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_serde_value;
use snafu::ResultExt;

use crate::reader::{SYNTAX, Source, one_line};
use crate::settings::EntrySnafu;
use crate::{ConfigState, Entry, EntryValue, Kind, SettingsError, check_spec, validate};

/// A configuration document: entries by kind and name, null for one to delete.
///
/// ```
/// use cornelwinch_config::Document;
///
/// let document = Document::parse(
///     "zones.jsonc",
///     r#"{ "zone": { "tunis-a": { "region": "tunis" }, "tunis-x": null } }"#,
/// )?;
/// assert_eq!(document.entries.len(), 2);
/// # Ok::<(), cornelwinch_config::SettingsError>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// Name of the file, for errors.
    pub file: String,
    /// Entries in the order in which they can be written: kinds by dependency,
    /// then deletions in the opposite order.
    pub entries: Vec<DocumentEntry>,
}

/// One entry of a configuration document.
#[derive(Debug, Clone, PartialEq)]
pub struct DocumentEntry {
    /// Kind of the entry.
    pub kind: Kind,
    /// Name of the entry.
    pub name: Name,
    /// Line of the entry in the document.
    pub line: usize,
    /// Contents; deleted for an entry to delete.
    pub value: EntryValue,
    /// Contents as the document has them; null for an entry to delete.
    pub spec: serde_json::Value,
}

impl Document {
    /// Reads a document from a text; `file` stands for its origin in errors.
    ///
    /// # Errors
    ///
    /// Returns the first entry that cannot be read or breaks a rule of its
    /// kind. References are not checked.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let source = Source { file, text };
        let value = source.parse()?;
        let mut entries = Vec::new();
        for kind_prop in properties(source, "", &value)? {
            let key = kind_prop.name.as_str();
            let kind: Kind = key.parse().map_err(|_| {
                let known = Kind::ALL.map(Kind::as_str).join(", ");
                let expected = format!("one of {known}");
                source.error(kind_prop.range.start, key, &expected, "an unknown key")
            })?;
            for prop in properties(source, key, &kind_prop.value)? {
                let entry = read(source, kind, prop)?;
                let same = |other: &DocumentEntry| (other.kind, &other.name) == (kind, &entry.name);
                if entries.iter().any(same) {
                    let key = format!("{kind}.{}", entry.name);
                    return Err(source.error(prop.range.start, &key, "one entry", "the key twice"));
                }
                entries.push(entry);
            }
        }
        entries.sort_by_key(|entry: &DocumentEntry| {
            let place = entry.kind as i8;
            let deleted = entry.value.is_deleted();
            (deleted, if deleted { -place } else { place })
        });
        Ok(Self {
            file: file.to_owned(),
            entries,
        })
    }

    /// Reports whether a text looks like a configuration document: its first
    /// key is a kind of entry, or it has none.
    pub fn is_document(text: &str) -> bool {
        match (Source { file: "", text }).parse() {
            Ok(Value::Object(object)) => {
                let first = object.properties.first();
                first.is_none_or(|prop| prop.name.as_str().parse::<Kind>().is_ok())
            }
            _ => false,
        }
    }

    /// Checks each entry against the present configuration and the entries
    /// that are written before it.
    ///
    /// # Errors
    ///
    /// Returns one text for each entry that breaks a rule, with file and line.
    pub fn validate(&self, state: &ConfigState) -> Result<(), Vec<String>> {
        let mut state = state.clone();
        let mut problems = Vec::new();
        for entry in &self.entries {
            let held = state
                .entry(entry.kind, &entry.name)
                .map_or(Revision(0), |e| e.revision);
            let proposed = entry.propose(Revision(held.0.saturating_add(1)));
            if let Err(error) = validate(&proposed, &state) {
                problems.push(format!("{}:{}: {error}", self.file, entry.line));
            }
            // An entry with a broken reference still stands for the later ones,
            // so that one mistake is reported once.
            state.apply(vec![proposed], Revision(0));
        }
        if problems.is_empty() {
            Ok(())
        } else {
            Err(problems)
        }
    }
}

impl DocumentEntry {
    /// The entry as it would be in force.
    fn propose(&self, revision: Revision) -> Entry {
        let (name, value) = (self.name.clone(), self.value.clone());
        Entry {
            name,
            revision,
            change: "".into(),
            value,
        }
    }
}

fn properties<'s, 'v>(
    source: Source<'s>,
    key: &str,
    value: &'v Value<'s>,
) -> Result<&'v [ObjectProp<'s>], SettingsError> {
    match value {
        Value::Object(object) => Ok(&object.properties),
        other => {
            let found = source.found(other);
            Err(source.error(other.range().start, key, "an object", found))
        }
    }
}

fn read(
    source: Source<'_>,
    kind: Kind,
    prop: &ObjectProp<'_>,
) -> Result<DocumentEntry, SettingsError> {
    let start = prop.range.start;
    let name: Name = prop.name.as_str().into();
    let key = format!("{kind}.{name}");
    let spec: serde_json::Value = parse_to_serde_value(source.slice(&prop.value), &SYNTAX)
        .map_err(|e| source.error(start, &key, "JSON with comments", &one_line(&e)))?;
    let value = match spec.is_null() {
        true => EntryValue::deleted(kind),
        false => EntryValue::from_spec(kind, spec.clone()).map_err(|e| {
            let expected = format!("a valid {kind}");
            source.error(start, &key, &expected, &one_line(&e))
        })?,
    };
    let entry = DocumentEntry {
        kind,
        name,
        line: source.line(start),
        value,
        spec,
    };
    check_spec(&entry.propose(Revision(1))).context(EntrySnafu {
        file: source.file,
        line: entry.line,
    })?;
    Ok(entry)
}
