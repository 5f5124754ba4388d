use cornelwinch_types::{Hit, KeyRange, SnapshotId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A body that starts with the number N matches about N documents in this many
/// keys.
pub const HITS_PER_KEYS: u64 = 1000;

/// Matches per [`HITS_PER_KEYS`] of a body that starts with no number.
const DEFAULT_HITS: u64 = 8;

/// One key in this many holds no document, so that a count of keys taken for a
/// count of documents shows as an error.
const GAP: u64 = 4;

/// Hits that a correct upstream returns for a range of a snapshot, by
/// ascending key.
///
/// The result of a range is the concatenation of the results of its parts, so
/// a checker can compute the hits of any set of ranges.
///
/// ```
/// use cornelwinch_standins::documents;
/// use cornelwinch_types::{KeyRange, SnapshotId};
///
/// let hits = |start, end| documents("portal", SnapshotId(7), KeyRange { start, end }, "40 atlas");
/// assert_eq!([hits(0, 500), hits(500, 1000)].concat(), hits(0, 1000));
/// assert!((20..60).contains(&hits(0, 1000).len()));
/// ```
pub fn documents(search: &str, snapshot: SnapshotId, range: KeyRange, body: &str) -> Vec<Hit> {
    let seed = index_seed(search, snapshot);
    let gap = seed % GAP;
    let body_seed = xxh3_64_with_seed(body.as_bytes(), seed);
    // Three quarters of the keys hold a document; the share of matches among
    // them is raised accordingly.
    let wanted = u128::from(leading_number(body).unwrap_or(DEFAULT_HITS));
    let matches =
        wanted * u128::from(u64::MAX) * u128::from(GAP) / u128::from(HITS_PER_KEYS * (GAP - 1));
    (range.start..range.end)
        .filter(|key| key % GAP != gap)
        .filter_map(|key| {
            let hash = xxh3_64_with_seed(&key.to_le_bytes(), body_seed);
            (u128::from(hash) < matches).then(|| Hit {
                key,
                text: format!("{search}/{snapshot}/{key}/{hash:016x}").into(),
            })
        })
        .collect()
}

/// Number of documents in a range of a snapshot.
pub fn document_count(search: &str, snapshot: SnapshotId, range: KeyRange) -> u64 {
    if range.is_empty() {
        return 0;
    }
    let gap = index_seed(search, snapshot) % GAP;
    // Keys below `key` that hold no document.
    let gaps_below = |key: u64| key / GAP + u64::from(key % GAP > gap);
    range.end - range.start - (gaps_below(range.end) - gaps_below(range.start))
}

fn index_seed(search: &str, snapshot: SnapshotId) -> u64 {
    xxh3_64_with_seed(&snapshot.0.to_le_bytes(), xxh3_64(search.as_bytes()))
}

fn leading_number(body: &str) -> Option<u64> {
    let end = body
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(body.len());
    body[..end].parse().ok()
}
