//! The composed state machine of an entry host.
