use log::{info, warn};
use serde_json::{Value, json};
use ureq::http::Method;

use crate::backoff::Backoff;
use crate::client::{Call, object_path};
use crate::{Difference, Object, PlatformClient, PlatformError, differences};

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum Written {
    /// The write was applied.
    Applied {
        /// The object after the write; `None` for a deletion whose answer was
        /// lost and which was confirmed by the absence of the object.
        object: Option<Object>,
    },
    /// The write was not applied: the object was changed by another writer.
    Conflict {
        /// The object as it is now; `None` if it does not exist.
        present: Option<Object>,
        /// Fields in which this write and the present object differ.
        differences: Vec<Difference>,
    },
    /// The answer was lost and another change followed, so it is unknown
    /// whether this write was applied before. It is not in force now.
    Overtaken {
        /// The object as it is now; `None` if it does not exist.
        present: Option<Object>,
        /// Fields in which this write and the present object differ.
        differences: Vec<Difference>,
    },
    /// The time was over, and the object was as before when last read. A
    /// request that is still under way may be applied later.
    NotApplied {
        /// The object when it was last read.
        present: Option<Object>,
    },
}

/// What a write wants the object to become.
struct Change<'a> {
    path: String,
    /// Version that the object must have.
    version: u64,
    /// `None` for a deletion.
    value: Option<Value>,
    change: &'a str,
}

impl PlatformClient {
    /// Writes an object if it has the given version, 0 for one that must not
    /// exist. `change` identifies the write and must be unique.
    ///
    /// If the answer is lost, the object is read back: the write is repeated,
    /// under the same condition and identifier, only if the object is as
    /// before.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unresolved`] if an answer was lost and the
    /// object could not be read back. After any other error the write was not
    /// applied.
    pub fn put(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        change: &str,
        spec: &Value,
    ) -> Result<Written, PlatformError> {
        let path = object_path("put", kind, name)?;
        let value = Some(json!({ "change": change, "spec": spec }));
        self.write(&Change {
            path,
            version,
            value,
            change,
        })
    }

    /// Deletes an object if it has the given version.
    ///
    /// A tombstone has no identifier of its change, so a deletion whose answer
    /// was lost counts as applied as soon as the object is gone.
    ///
    /// # Errors
    ///
    /// As for [`put`](Self::put).
    pub fn delete(&self, kind: &str, name: &str, version: u64) -> Result<Written, PlatformError> {
        let path = object_path("delete", kind, name)?;
        self.write(&Change {
            path,
            version,
            value: None,
            change: "",
        })
    }

    fn write(&self, change: &Change<'_>) -> Result<Written, PlatformError> {
        let deadline = self.deadline();
        let mut backoff = Backoff::until(deadline);
        let mut lost = false;
        loop {
            let path = format!("{}?version={}", change.path, change.version);
            let call = Call {
                method: if change.value.is_some() {
                    Method::PUT
                } else {
                    Method::DELETE
                },
                path: &path,
                body: change.value.as_ref(),
                timeout: self.timeouts().call,
            };
            let step = format!("{} {path}", call.method);
            let error = match self.exchange(&call) {
                Ok(answer) => match answer.status {
                    200 => {
                        // The status alone confirms the write, whatever the body.
                        let object = self.decode(&path, &answer).ok();
                        return Ok(Written::Applied { object });
                    }
                    409 => match self.decode::<Option<Object>>(&path, &answer) {
                        Ok(present) => return Ok(change.judge(present, lost)),
                        Err(e) => e,
                    },
                    404 if change.value.is_none() => return Ok(change.judge(None, lost)),
                    status if status < 500 => {
                        let error = PlatformError::Status {
                            step,
                            peer: self.peer(),
                            status,
                        };
                        return if lost {
                            unresolved(step_of(change), change, error)
                        } else {
                            Err(error)
                        };
                    }
                    status => PlatformError::Status {
                        step,
                        peer: self.peer(),
                        status,
                    },
                },
                Err(e) => e,
            };
            if error.did_nothing() && !lost {
                if backoff.pause() {
                    continue;
                }
                return Err(error);
            }
            lost |= !error.did_nothing();
            warn!(
                "event=platform_write_lost path={} change={} error=\"{error}\"",
                change.path, change.change
            );
            let present = match self.get_until(&change.path, deadline) {
                Ok(present) => present,
                Err(e) => return unresolved(step_of(change), change, e),
            };
            if !change.is_as_before(present.as_ref()) {
                info!(
                    "event=platform_write_resolved path={} change={}",
                    change.path, change.change
                );
                return Ok(change.judge(present, lost));
            }
            if !backoff.pause() {
                return Ok(Written::NotApplied { present });
            }
        }
    }
}

impl Change<'_> {
    fn is_as_before(&self, present: Option<&Object>) -> bool {
        present.map_or(0, |object| object.version) == self.version
    }

    /// Compares the write with the object as it is now, which is not as before
    /// the write. `lost` tells that an attempt at it got no answer.
    fn judge(&self, present: Option<Object>, lost: bool) -> Written {
        let present = present.filter(|object| !object.deleted);
        let is_ours = match (&self.value, &present) {
            (Some(_), Some(object)) => object.change() == Some(self.change),
            (None, None) => lost,
            _ => false,
        };
        if is_ours {
            return Written::Applied { object: present };
        }
        let ours = self.value.as_ref().and_then(|value| value.get("spec"));
        let differences = differences(ours, present.as_ref().and_then(Object::spec));
        // The next version being another writer's, this write had no place.
        let has_place = present
            .as_ref()
            .is_none_or(|object| object.version > self.version + 1);
        if lost && has_place {
            Written::Overtaken {
                present,
                differences,
            }
        } else {
            Written::Conflict {
                present,
                differences,
            }
        }
    }
}

fn step_of(change: &Change<'_>) -> String {
    format!("write {}", change.path)
}

fn unresolved<T>(
    step: String,
    change: &Change<'_>,
    source: PlatformError,
) -> Result<T, PlatformError> {
    let source = Box::new(source);
    Err(PlatformError::Unresolved {
        step,
        change: change.change.to_owned(),
        source,
    })
}
