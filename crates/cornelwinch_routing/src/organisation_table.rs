use std::sync::Arc;

use cornelwinch_types::Name;

use crate::{Cap, KeyDigest, Organisation};

/// Largest number of organisations that are accepted; further ones are left out.
const MAX_ORGANISATIONS: usize = 16_384;

/// Largest number of keys that are accepted; organisations whose keys exceed it are left out. The
/// index takes 48 bytes per key.
const MAX_KEYS: usize = 131_072;

/// Longest key of a caller, in bytes. It bounds the time for hashing an unknown key.
const MAX_KEY_BYTES: usize = 1_024;

/// The part of an organisation that is needed to serve its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationProfile {
    /// Name that upstreams get.
    pub name: Name,
    /// Priority of its requests, 0 being the most urgent; `None` if that of the route counts.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` without one.
    pub cap: Option<Cap>,
}

/// Random secret of a process from which the order of the key index is derived. A caller that does
/// not know it cannot choose keys by their place in the index.
#[derive(Clone, Copy)]
pub struct IndexKey([u8; 32]);

impl IndexKey {
    /// Creates an index key from random bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    fn position(&self, digest: &KeyDigest) -> u64 {
        let hash = blake3::keyed_hash(&self.0, digest.as_bytes());
        let (head, _) = hash.as_bytes().split_at(size_of::<u64>());
        u64::from_le_bytes(head.try_into().expect("the length matches"))
    }
}

impl std::fmt::Debug for IndexKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("IndexKey(..)")
    }
}

#[derive(Debug)]
struct IndexEntry {
    position: u64,
    digest: KeyDigest,
    /// Index in `organisations`.
    organisation: u32,
}

/// Organisations of one version of the desired state, searched by the key of a caller.
///
/// ```
/// use cornelwinch_routing::{IndexKey, KeyDigest, Organisation, OrganisationTable};
///
/// let depot = Organisation {
///     name: "depot".into(), keys: vec![KeyDigest::of(b"k-1")], priority: None, cap: None,
/// };
/// let table = OrganisationTable::new(&[depot], &IndexKey::new([7; 32]));
/// assert_eq!(&*table.find(b"k-1").unwrap().name, "depot");
/// assert!(table.find(b"k-2").is_none());
/// ```
#[derive(Debug)]
pub struct OrganisationTable {
    /// Sorted by name.
    organisations: Vec<Arc<OrganisationProfile>>,
    /// Sorted by position.
    index: Vec<IndexEntry>,
    index_key: IndexKey,
    omitted: usize,
    shared_keys: usize,
}

impl OrganisationTable {
    /// Builds the table of a version.
    ///
    /// Organisations that share a name are left out, since their caps and keys are ambiguous. A
    /// key that several organisations list belongs to none of them.
    pub fn new(organisations: &[Organisation], index_key: &IndexKey) -> Self {
        let mut sorted: Vec<&Organisation> = organisations.iter().collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        let mut table = Self {
            organisations: Vec::new(),
            index: Vec::new(),
            index_key: *index_key,
            omitted: 0,
            shared_keys: 0,
        };
        for group in sorted.chunk_by(|a, b| a.name == b.name) {
            match group {
                [one] if table.has_room(one) => table.add(one),
                _ => table.omitted += group.len(),
            }
        }
        table.sort_index();
        table
    }

    fn has_room(&self, organisation: &Organisation) -> bool {
        self.organisations.len() < MAX_ORGANISATIONS
            && self.index.len() + organisation.keys.len() <= MAX_KEYS
    }

    fn add(&mut self, organisation: &Organisation) {
        let number = u32::try_from(self.organisations.len()).expect("the number is bounded");
        self.organisations.push(Arc::new(OrganisationProfile {
            name: organisation.name.clone(),
            priority: organisation.priority,
            cap: organisation.cap,
        }));
        let key = self.index_key;
        self.index
            .extend(organisation.keys.iter().map(|digest| IndexEntry {
                position: key.position(digest),
                digest: *digest,
                organisation: number,
            }));
    }

    /// Sorts the index and removes keys that several organisations list.
    fn sort_index(&mut self) {
        self.index
            .sort_unstable_by_key(|e| (e.position, e.digest, e.organisation));
        self.index
            .dedup_by_key(|e| (e.position, e.digest, e.organisation));
        let entries = std::mem::take(&mut self.index);
        let mut kept = Vec::with_capacity(entries.len());
        let mut entries = entries.into_iter().peekable();
        while let Some(entry) = entries.next() {
            let mut is_shared = false;
            while entries.next_if(|e| e.digest == entry.digest).is_some() {
                is_shared = true;
            }
            if is_shared {
                self.shared_keys += 1;
            } else {
                kept.push(entry);
            }
        }
        self.index = kept;
    }

    /// Returns the organisation that a caller's key belongs to.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<OrganisationProfile>> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return None;
        }
        let digest = KeyDigest::of(key);
        let position = self.index_key.position(&digest);
        let start = self.index.partition_point(|e| e.position < position);
        // The comparison of two `blake3::Hash` takes the same time for all values.
        let wanted = blake3::Hash::from(*digest.as_bytes());
        self.index[start..]
            .iter()
            .take_while(|e| e.position == position)
            .find(|e| blake3::Hash::from(*e.digest.as_bytes()) == wanted)
            .map(|e| &self.organisations[e.organisation as usize])
    }

    /// Returns the organisations sorted by name.
    pub fn organisations(&self) -> &[Arc<OrganisationProfile>] {
        &self.organisations
    }

    /// Returns the organisation with a name.
    pub fn get(&self, name: &str) -> Option<&Arc<OrganisationProfile>> {
        let found = self.organisations.binary_search_by(|o| (*o.name).cmp(name));
        found.ok().map(|i| &self.organisations[i])
    }

    /// Returns the number of keys that are accepted.
    pub fn key_count(&self) -> usize {
        self.index.len()
    }

    /// Returns the number of keys that are not accepted because several organisations list them.
    pub fn shared_key_count(&self) -> usize {
        self.shared_keys
    }

    /// Returns the number of organisations that were left out.
    pub fn omitted_count(&self) -> usize {
        self.omitted
    }

    /// Returns the numbers of keys that are accepted here and not in `old`, and the reverse.
    ///
    /// # Panics
    ///
    /// Panics if the tables were built with different index keys.
    pub fn key_changes(&self, old: &Self) -> (usize, usize) {
        assert_eq!(self.index_key.0, old.index_key.0, "one process has one key");
        let mut kept = 0;
        let mut candidates = old.index.iter().peekable();
        for entry in &self.index {
            let place = (entry.position, entry.digest);
            while candidates
                .next_if(|e| (e.position, e.digest) < place)
                .is_some()
            {}
            let same = candidates.next_if(|e| (e.position, e.digest) == place);
            kept += usize::from(same.is_some_and(|e| self.owner(entry) == old.owner(e)));
        }
        (self.index.len() - kept, old.index.len() - kept)
    }

    fn owner(&self, entry: &IndexEntry) -> &Name {
        &self.organisations[entry.organisation as usize].name
    }
}
