//! Names that operators and other programs see.

use cornelwinch_config::{EntryValue, Kind};
use serde_json::json;

/// Guards against a renamed identifier that changes stored objects or messages.
#[test]
fn organisations_are_stored_as_customers() {
    let kind = Kind::Organisation;
    assert_eq!(kind.as_str(), "customer");
    assert_eq!("customer".parse::<Kind>().unwrap(), kind);
    assert_eq!(serde_json::to_value(kind).unwrap(), json!("customer"));
    assert_eq!(
        serde_json::to_value(EntryValue::Organisation(None)).unwrap(),
        json!({"kind": "customer", "spec": null})
    );
}
