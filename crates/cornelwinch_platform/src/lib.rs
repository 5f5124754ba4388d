//! Client of the platform's object API: conditional updates, lists, watches.
