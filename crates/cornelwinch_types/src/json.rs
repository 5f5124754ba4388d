use std::borrow::Cow;

/// Private-use characters from which a marker is chosen.
const MARKERS: std::ops::RangeInclusive<char> = '\u{e000}'..='\u{f8ff}';

/// A JSON document that may contain bytes that are not text.
///
/// A JSON decoder rejects a whole document for one invalid byte. Here each run of
/// invalid bytes is replaced by a marker character that the document does not
/// contain otherwise, so that the document can be split into its parts and only
/// the parts with a marker are rejected.
///
/// ```
/// use cornelwinch_types::JsonText;
///
/// let text = JsonText::new(b"[\"a\xff\", \"b\"]");
/// let parts: Vec<&str> = text.as_str().trim_matches(['[', ']']).split(", ").collect();
/// assert!(!text.is_intact(parts[0]));
/// assert!(text.is_intact(parts[1]));
/// ```
#[derive(Debug, Clone)]
pub struct JsonText<'a> {
    text: Cow<'a, str>,
    marker: Option<char>,
}

impl<'a> JsonText<'a> {
    /// Replaces the bytes of a document that are not UTF-8, and the control
    /// characters, which JSON allows nowhere.
    pub fn new(document: &'a [u8]) -> Self {
        if let Ok(text) = std::str::from_utf8(document)
            && !text.contains(is_forbidden)
        {
            return Self {
                text: Cow::Borrowed(text),
                marker: None,
            };
        }
        let lossy = String::from_utf8_lossy(document);
        let marker = MARKERS
            .into_iter()
            .find(|marker| !lossy.contains(*marker))
            .unwrap_or(char::REPLACEMENT_CHARACTER);
        let mut text = String::with_capacity(document.len());
        for chunk in document.utf8_chunks() {
            text.extend(
                chunk
                    .valid()
                    .chars()
                    .map(|c| if is_forbidden(c) { marker } else { c }),
            );
            if !chunk.invalid().is_empty() {
                text.push(marker);
            }
        }
        Self {
            text: Cow::Owned(text),
            marker: Some(marker),
        }
    }

    /// Returns the document with its markers.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Reports whether a part of [`as_str`](Self::as_str) stands as it was received.
    pub fn is_intact(&self, part: &str) -> bool {
        self.marker.is_none_or(|marker| !part.contains(marker))
    }
}

fn is_forbidden(c: char) -> bool {
    c < ' ' && !matches!(c, '\t' | '\n' | '\r')
}
