use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::SettingsError;

/// JSON with comments and trailing commas, and no other extension.
pub const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A file being read, for the position in errors.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Source<'a> {
    pub(crate) file: &'a str,
    pub(crate) text: &'a str,
}

impl<'a> Source<'a> {
    /// Parses the text as JSON with comments.
    pub(crate) fn parse(self) -> Result<Value<'a>, SettingsError> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &SYNTAX);
        match parsed {
            Ok(parsed) => match parsed.value {
                Some(value) => Ok(value),
                None => Err(self.error(0, "", "a JSON object", "an empty file")),
            },
            Err(e) => {
                let found = format!("invalid syntax ({})", e.kind());
                Err(self.error(e.range().start, "", "JSON with comments", &found))
            }
        }
    }

    /// Line of a byte position, counted from 1.
    pub(crate) fn line(self, position: usize) -> usize {
        let end = position.min(self.text.len());
        1 + self.text.as_bytes()[..end]
            .iter()
            .filter(|b| **b == b'\n')
            .count()
    }

    /// Text of a value as the file has it.
    pub(crate) fn slice(self, value: &Value<'_>) -> &'a str {
        let range = value.range();
        &self.text[range.start..range.end]
    }

    /// An error at a byte position.
    pub(crate) fn error(
        self,
        position: usize,
        key: &str,
        expected: &str,
        found: &str,
    ) -> SettingsError {
        SettingsError::Invalid {
            file: self.file.to_owned(),
            line: self.line(position),
            key: key.to_owned(),
            expected: expected.to_owned(),
            // A parser message may span lines; an error is one line of a log.
            found: found.replace(['\n', '\r'], " "),
        }
    }

    /// Text of a value for an error.
    pub(crate) fn found(self, value: &Value<'_>) -> &'a str {
        let text = self.slice(value);
        match value {
            Value::Object(_) => "an object",
            Value::Array(_) => "a list",
            // Long enough for any valid value, short enough for a log line.
            _ => text
                .char_indices()
                .nth(80)
                .map_or(text, |(end, _)| &text[..end]),
        }
    }
}

/// Reads the known keys of one object.
#[derive(Debug)]
pub(crate) struct Reader<'s, 'v> {
    source: Source<'s>,
    object: Option<&'v Object<'s>>,
    path: String,
}

impl<'s, 'v> Reader<'s, 'v> {
    /// A reader of a whole file with the given keys.
    pub(crate) fn open(
        source: Source<'s>,
        value: &'v Value<'s>,
        known: &[&str],
    ) -> Result<Self, SettingsError> {
        match value {
            Value::Object(object) => {
                let reader = Self {
                    source,
                    object: Some(object),
                    path: String::new(),
                };
                reader.refuse_unknown(known)?;
                Ok(reader)
            }
            other => {
                let found = source.found(other);
                Err(source.error(other.range().start, "", "a JSON object", found))
            }
        }
    }

    /// A reader of the object under a key; an absent one has no keys.
    pub(crate) fn section(
        &self,
        key: &str,
        known: &[&str],
    ) -> Result<Reader<'s, 'v>, SettingsError> {
        let path = format!("{}{key}.", self.path);
        let object = match self.prop(key)?.map(|prop| &prop.value) {
            None => None,
            Some(Value::Object(object)) => Some(object),
            Some(other) => return Err(self.invalid(key, other, "an object")),
        };
        let reader = Reader {
            source: self.source,
            object,
            path,
        };
        reader.refuse_unknown(known)?;
        Ok(reader)
    }

    /// A string that `parse` accepts; `expected` describes it.
    pub(crate) fn text<T>(
        &self,
        key: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, SettingsError> {
        let Some(prop) = self.prop(key)? else {
            return Ok(None);
        };
        match prop
            .value
            .as_string_lit()
            .and_then(|text| parse(&text.value))
        {
            Some(value) => Ok(Some(value)),
            None => Err(self.invalid(key, &prop.value, expected)),
        }
    }

    /// A list of strings that `parse` accepts each.
    pub(crate) fn list<T>(
        &self,
        key: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<Vec<T>, SettingsError> {
        let Some(prop) = self.prop(key)? else {
            return Ok(Vec::new());
        };
        let Some(list) = prop.value.as_array() else {
            return Err(self.invalid(key, &prop.value, "a list of strings"));
        };
        let mut values = Vec::with_capacity(list.elements.len());
        for element in &list.elements {
            match element.as_string_lit().and_then(|text| parse(&text.value)) {
                Some(value) => values.push(value),
                None => return Err(self.invalid(key, element, expected)),
            }
        }
        Ok(values)
    }

    /// An integer in a range, or the default.
    pub(crate) fn integer(
        &self,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, SettingsError> {
        let Some(prop) = self.prop(key)? else {
            return Ok(default);
        };
        let number = prop
            .value
            .as_number_lit()
            .and_then(|number| number.value.parse().ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => Ok(number),
            None => {
                let expected = format!("an integer from {} to {}", range.start(), range.end());
                Err(self.invalid(key, &prop.value, &expected))
            }
        }
    }

    /// Turns an absent value into an error.
    pub(crate) fn require<T>(
        &self,
        key: &str,
        expected: &str,
        value: Option<T>,
    ) -> Result<T, SettingsError> {
        value.ok_or_else(|| {
            let position = self.object.map_or(0, |object| object.range.start);
            self.source
                .error(position, &self.full(key), expected, "no such key")
        })
    }

    fn refuse_unknown(&self, known: &[&str]) -> Result<(), SettingsError> {
        let Some(object) = self.object else {
            return Ok(());
        };
        for prop in &object.properties {
            let name = prop.name.as_str();
            if !known.contains(&name) {
                let expected = format!("one of {}", known.join(", "));
                let (start, key) = (prop.range.start, self.full(name));
                return Err(self.source.error(start, &key, &expected, "an unknown key"));
            }
        }
        Ok(())
    }

    fn prop(&self, key: &str) -> Result<Option<&'v ObjectProp<'s>>, SettingsError> {
        let Some(object) = self.object else {
            return Ok(None);
        };
        let mut props = object
            .properties
            .iter()
            .filter(|prop| prop.name.as_str() == key);
        let first = props.next();
        match props.next() {
            Some(second) => {
                let start = second.range.start;
                Err(self
                    .source
                    .error(start, &self.full(key), "one value", "the key twice"))
            }
            None => Ok(first),
        }
    }

    fn invalid(&self, key: &str, value: &Value<'_>, expected: &str) -> SettingsError {
        let found = self.source.found(value);
        self.source
            .error(value.range().start, &self.full(key), expected, found)
    }

    fn full(&self, key: &str) -> String {
        format!("{}{key}", self.path)
    }
}

/// A socket address; `port` and `ip` tell what is accepted.
pub(crate) fn address(text: &str, allow: impl Fn(&SocketAddr) -> bool) -> Option<SocketAddr> {
    text.parse().ok().filter(allow)
}

/// One line for the error of a source.
pub(crate) fn one_line(error: &impl Display) -> String {
    error.to_string().replace(['\n', '\r'], " ")
}
