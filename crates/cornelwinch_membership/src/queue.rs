use cornelwinch_types::Name;

/// Transmissions of an update beyond the logarithm of the number of receivers.
///
/// With `r` transmissions by each host about `exp(-r)` of the hosts miss an
/// update; digests repair that.
const EXTRA_SENDS: u32 = 2;

/// Hosts whose records wait to be sent, the least often sent first.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    items: Vec<(u32, Name)>,
}

impl UpdateQueue {
    /// Adds a host, or starts again with it.
    pub(crate) fn push(&mut self, name: &Name) {
        self.remove(name);
        self.items.insert(0, (0, name.clone()));
    }

    pub(crate) fn remove(&mut self, name: &Name) {
        self.items.retain(|(_, held)| held != name);
    }

    pub(crate) fn clear(&mut self) {
        self.items.clear();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Offers hosts to `send` until it returns false, and drops those that were
    /// sent often enough for the number of receivers.
    pub(crate) fn drain(&mut self, receivers: usize, mut send: impl FnMut(&Name) -> bool) {
        let limit = usize::BITS - receivers.leading_zeros() + EXTRA_SENDS;
        let taken = self
            .items
            .iter_mut()
            .take_while(|(_, name)| send(name))
            .map(|item| item.0 += 1)
            .count();
        if taken > 0 {
            self.items.retain(|(sent, _)| *sent < limit);
            self.items.sort_by_key(|(sent, _)| *sent);
        }
    }
}
