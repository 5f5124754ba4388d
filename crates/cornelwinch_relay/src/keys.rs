use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::rc::Rc;
use std::sync::Arc;

use cornelwinch_routing::{
    Caller, DesiredState, IndexKey, OrganisationProfile, OrganisationTable, Route,
};
use hyper::HeaderMap;
use hyper::header::HeaderValue;

use crate::Dialect;
use crate::core::Core;

/// Returns an index key from the random numbers that the operating system gives this process.
pub(crate) fn random_index_key() -> IndexKey {
    let mut bytes = [0; 32];
    for chunk in bytes.chunks_exact_mut(size_of::<u64>()) {
        chunk.copy_from_slice(&RandomState::new().hash_one(0_u8).to_le_bytes());
    }
    IndexKey::new(bytes)
}

/// Sender of a request, as far as its key tells.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Sender {
    /// The desired state has no organisations; headers stay as they are.
    NoKeys,
    /// A request without a known key to a public route.
    Anonymous,
    /// A request with a key of this organisation.
    Organisation(Arc<OrganisationProfile>),
}

impl Sender {
    /// Identifies the sender of a request. Returns the reason of a rejection if the route needs a
    /// key and the request carries none that is known.
    pub(crate) fn identify(
        organisations: Option<&OrganisationTable>,
        dialect: &Dialect,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Self, &'static str> {
        let Some(organisations) = organisations else {
            return Ok(Self::NoKeys);
        };
        let mut values = headers.get_all(&dialect.headers.key).iter();
        // Several values are ambiguous and count as none.
        let key = match (values.next(), values.next()) {
            (Some(value), None) => (dialect.caller_key)(value.as_bytes()),
            _ => None,
        };
        match key.and_then(|key| organisations.find(key)) {
            Some(organisation) => Ok(Self::Organisation(organisation.clone())),
            None if route.is_public => Ok(Self::Anonymous),
            None if key.is_some() => Err("unknown_key"),
            None => Err("no_key"),
        }
    }

    /// Returns what the order of admission knows of the sender.
    pub(crate) fn caller(&self, route: &Route, can_meet_goal: bool) -> Caller {
        let organisation = match self {
            Self::Organisation(organisation) => Some(organisation),
            Self::NoKeys | Self::Anonymous => None,
        };
        Caller {
            organisation: organisation.map(|organisation| organisation.name.clone()),
            priority: organisation
                .and_then(|organisation| organisation.priority)
                .unwrap_or(route.priority),
            can_meet_goal,
        }
    }

    /// Removes the key from the headers for upstreams and sets the name of the organisation.
    pub(crate) fn replace_key(&self, dialect: &Dialect, headers: &mut HeaderMap) {
        let names = &dialect.headers;
        if *self == Self::NoKeys {
            return;
        }
        headers.remove(&names.key);
        headers.remove(&names.organisation);
        if let Self::Organisation(organisation) = self
            && let Ok(name) = HeaderValue::from_bytes(organisation.name.as_bytes())
        {
            headers.insert(names.organisation.clone(), name);
        }
    }
}

impl Core {
    /// Builds the organisations of a version that comes into force. Logs numbers only.
    pub(crate) fn set_organisations(&mut self, state: &DesiredState) {
        let new = state
            .organisations
            .as_ref()
            .map(|list| Rc::new(OrganisationTable::new(list, &self.index_key)));
        let old = std::mem::replace(&mut self.organisations, new);
        let empty = OrganisationTable::new(&[], &self.index_key);
        match (&self.organisations, old.as_deref()) {
            (Some(new), old) => {
                let (added, revoked) = new.key_changes(old.unwrap_or(&empty));
                if added + revoked > 0 || old.is_none() || new.omitted_count() > 0 {
                    log::info!(
                        "event=keys_changed version={} organisations={} keys={} added={added} revoked={revoked} shared={} omitted={}",
                        state.version,
                        new.organisations().len(),
                        new.key_count(),
                        new.shared_key_count(),
                        new.omitted_count(),
                    );
                }
            }
            (None, Some(old)) => log::info!(
                "event=keys_not_required version={} revoked={}",
                state.version,
                old.key_count()
            ),
            (None, None) => {}
        }
    }
}
