use std::fmt;

use serde_json::Value;

/// A field in which two specs differ.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Path of the field, with dots and list positions; empty for the whole.
    pub path: String,
    /// The value that this writer has.
    pub ours: Option<Value>,
    /// The value on the platform.
    pub present: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "spec"
        } else {
            &self.path
        };
        write!(f, "{path}: present ")?;
        write_value(f, self.present.as_ref())?;
        f.write_str(", yours ")?;
        write_value(f, self.ours.as_ref())
    }
}

fn write_value(f: &mut fmt::Formatter<'_>, value: Option<&Value>) -> fmt::Result {
    match value {
        Some(value) => write!(f, "{value}"),
        None => f.write_str("absent"),
    }
}

/// Lists the fields in which two specs differ, in the order of their paths.
///
/// ```
/// use cornelwinch_platform::differences;
/// use serde_json::json;
///
/// let ours = json!({"rate_per_s": 50, "burst": 10});
/// let present = json!({"rate_per_s": 40, "burst": 10});
/// let found = differences(Some(&ours), Some(&present));
/// assert_eq!(found.len(), 1);
/// assert_eq!(found[0].to_string(), "rate_per_s: present 40, yours 50");
/// ```
pub fn differences(ours: Option<&Value>, present: Option<&Value>) -> Vec<Difference> {
    let mut found = Vec::new();
    compare(String::new(), ours, present, &mut found);
    found
}

fn compare(
    path: String,
    ours: Option<&Value>,
    present: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    match (ours, present) {
        (Some(Value::Object(a)), Some(Value::Object(b))) => {
            let mut keys: Vec<&String> = a.keys().chain(b.keys()).collect();
            keys.sort();
            keys.dedup();
            for key in keys {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                compare(path, a.get(key), b.get(key), found);
            }
        }
        (Some(Value::Array(a)), Some(Value::Array(b))) => {
            for i in 0..a.len().max(b.len()) {
                compare(format!("{path}[{i}]"), a.get(i), b.get(i), found);
            }
        }
        (a, b) if a == b => {}
        (a, b) => {
            found.push(Difference {
                path,
                ours: a.cloned(),
                present: b.cloned(),
            });
        }
    }
}
