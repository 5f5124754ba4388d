use std::time::Duration;

use cornelwinch_routing::DesiredStateDelta;
use cornelwinch_types::Name;

use crate::apply::apply_changes;
use crate::dialect::{ObjectKind, ObjectValue, StoreObject};
use crate::feed_message::FeedMessage;
use crate::shared::Shared;

impl Shared {
    /// Updates the mirror from a complete list of a kind, applies the changes and publishes them to
    /// the hosts that this one feeds.
    pub(crate) fn ingest_list(
        &self,
        kind: ObjectKind,
        revision: u64,
        items: Vec<StoreObject>,
        removal_grace: Option<Duration>,
    ) {
        if !self.follows(kind) {
            return;
        }
        let is_first = self.mirror.borrow().revision(kind).is_none();
        let version = self.desired_state_change(kind, &items);
        let changes = self.mirror.borrow_mut().apply_list(kind, revision, items);
        if is_first && let Some(items) = changes {
            // Subscribers may hold objects that are missing from the list, so it is sent whole.
            self.publish(&FeedMessage::List {
                kind,
                revision,
                items: items.clone(),
            });
            apply_changes(self, kind, items, removal_grace);
        } else {
            self.apply_and_publish(kind, revision, changes, removal_grace, version);
        }
    }

    /// Updates the mirror from changes of a kind, applies them and publishes them to the hosts that
    /// this one feeds.
    pub(crate) fn ingest_changes(
        &self,
        kind: ObjectKind,
        revision: u64,
        items: Vec<StoreObject>,
        removal_grace: Option<Duration>,
    ) {
        if !self.follows(kind) {
            return;
        }
        let version = self.desired_state_change(kind, &items);
        let changes = self
            .mirror
            .borrow_mut()
            .apply_changes(kind, revision, items);
        self.apply_and_publish(kind, revision, changes, removal_grace, version);
    }

    /// Returns true if this host uses objects of a kind. Another host that feeds it may send others.
    pub(crate) fn follows(&self, kind: ObjectKind) -> bool {
        kind != ObjectKind::Rollouts || self.settings.borrow().bounds.follows_rollouts()
    }

    fn apply_and_publish(
        &self,
        kind: ObjectKind,
        revision: u64,
        changes: Option<Vec<StoreObject>>,
        removal_grace: Option<Duration>,
        version: Option<(Name, DesiredStateDelta)>,
    ) {
        let Some(items) = changes else {
            log::info!("event=stale_update_ignored kind={kind:?} revision={revision}");
            return;
        };
        if items.is_empty() {
            return;
        }
        self.publish(&match version {
            Some((name, change)) => FeedMessage::Version {
                revision,
                name,
                change,
            },
            None => FeedMessage::Changes {
                kind,
                revision,
                items: items.clone(),
                grace_ms: removal_grace.map(|removal_grace| {
                    u64::try_from(removal_grace.as_millis()).unwrap_or(u64::MAX)
                }),
            },
        });
        apply_changes(self, kind, items, removal_grace);
    }

    /// Returns the difference between the mirrored desired state and a new version of it. Returns
    /// `None` if no host is fed or the new version has to be sent whole.
    fn desired_state_change(
        &self,
        kind: ObjectKind,
        items: &[StoreObject],
    ) -> Option<(Name, DesiredStateDelta)> {
        if kind != ObjectKind::DesiredState || self.feed.receiver_count() == 0 {
            return None;
        }
        let [
            StoreObject {
                name,
                value: Some(ObjectValue::DesiredState(new)),
            },
        ] = items
        else {
            return None;
        };
        let mirror = self.mirror.borrow();
        let change = DesiredStateDelta::between(mirror.desired(name)?, new)?;
        Some((name.clone(), change))
    }
}
