//! Messages and transport between hosts.
