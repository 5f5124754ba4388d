//! Settings files and versioned configuration entries of cornelwinch.

mod entry;

pub use entry::{
    ClassPolicy, CustomerSpec, Entry, EntryValue, HostSpec, PlanSpec, SearchSpec, ServiceState,
    UpstreamSpec, ZoneSpec,
};
