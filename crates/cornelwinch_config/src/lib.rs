//! Settings files and versioned configuration entries of cornelwinch.

mod document;
mod entry;
mod kind;
mod reader;
mod settings;
mod state;
mod validate;

pub use document::{Document, DocumentEntry};
pub use entry::{
    ClassPolicy, Entry, EntryValue, HostSpec, OrganisationSpec, PlanSpec, SearchSpec, ServiceState,
    UpstreamSpec, ZoneSpec,
};
pub use kind::{Kind, UnknownKind};
pub use reader::SYNTAX;
pub use settings::{LimitSettings, LogSettings, RoutingSetting, Settings, SettingsError};
pub use state::{ConfigState, RejectedEntry};
pub use validate::{ValidationError, check_spec, validate};
