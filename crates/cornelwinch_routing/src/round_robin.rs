use cornelwinch_types::Name;

/// Distributes requests among services by smooth weighted round robin, which
/// matches the weights within any short sequence of requests.
///
/// ```
/// use cornelwinch_routing::WeightedRoundRobin;
///
/// let parts = vec![("a".into(), 3), ("b".into(), 1)];
/// let mut round_robin = WeightedRoundRobin::default();
/// let picks: String = (0..4).map(|_| round_robin.next(&parts).unwrap().to_string()).collect();
/// assert_eq!(picks.matches('a').count(), 3);
/// ```
#[derive(Debug, Default, Clone)]
pub struct WeightedRoundRobin {
    credit: Vec<i64>,
    /// Parts to which the credits belong.
    parts: Vec<(Name, u32)>,
}

impl WeightedRoundRobin {
    /// Picks the service of the next request; `None` if all weights are 0.
    pub fn next(&mut self, parts: &[(Name, u32)]) -> Option<Name> {
        if self.parts != parts {
            // Credits that were collected with other weights would send all requests to one part.
            self.parts = parts.to_vec();
            self.credit = vec![0; parts.len()];
        }
        let total: i64 = parts.iter().map(|(_, weight)| i64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        for (credit, (_, weight)) in self.credit.iter_mut().zip(parts) {
            *credit += i64::from(*weight);
        }
        let best = (0..parts.len()).max_by_key(|i| (self.credit[*i], std::cmp::Reverse(*i)))?;
        self.credit[best] -= total;
        Some(parts[best].0.clone())
    }
}
