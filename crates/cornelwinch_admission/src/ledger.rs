use std::time::Instant;

use cornelwinch_types::Name;

/// A host's part of one resource of a customer: its own share, what it has
/// lent to other hosts and what it has borrowed from them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ledger {
    own: f64,
    /// By peer. Several loans to one peer may be outstanding; the peer uses
    /// only the newest one that reached it.
    lent: Vec<Loan>,
    /// By peer, one from each.
    borrowed: Vec<Loan>,
}

#[derive(Debug, Clone)]
struct Loan {
    peer: Name,
    /// Number of the request; unused in loans to others.
    id: u64,
    amount: f64,
    until: Instant,
}

impl Ledger {
    pub(crate) fn own(&self) -> f64 {
        self.own
    }

    pub(crate) fn set_own(&mut self, own: f64) {
        self.own = own;
    }

    /// Own share without the lent part.
    pub(crate) fn free(&self, now: Instant) -> f64 {
        (self.own - self.lent(now)).max(0.0)
    }

    /// What the host may use at a time.
    pub(crate) fn held(&self, at: Instant) -> f64 {
        self.held_through(at, at)
    }

    /// What the host may use now and keeps until the horizon.
    pub(crate) fn held_through(&self, now: Instant, horizon: Instant) -> f64 {
        (self.own + self.borrowed(horizon) - self.lent(now)).max(0.0)
    }

    /// Sum of the borrowed portions that last until a time.
    pub(crate) fn borrowed(&self, until: Instant) -> f64 {
        self.borrowed
            .iter()
            .filter(|loan| loan.until > until)
            .map(|loan| loan.amount)
            .sum()
    }

    /// The portion borrowed from a peer.
    pub(crate) fn borrowed_from(&self, peer: &str, now: Instant) -> f64 {
        let loan = self
            .borrowed
            .iter()
            .find(|loan| *loan.peer == *peer && loan.until > now);
        loan.map_or(0.0, |loan| loan.amount)
    }

    /// Sum over the peers of the most that each may be using.
    pub(crate) fn lent(&self, now: Instant) -> f64 {
        let by_peer = self.lent.chunk_by(|a, b| a.peer == b.peer);
        by_peer.map(|loans| largest(loans, now)).sum()
    }

    /// The most that one peer may be using.
    pub(crate) fn lent_to(&self, peer: &str, now: Instant) -> f64 {
        let start = self.lent.partition_point(|loan| &*loan.peer < peer);
        let end = self.lent.partition_point(|loan| &*loan.peer <= peer);
        largest(&self.lent[start..end], now)
    }

    /// Records a loan to a peer.
    pub(crate) fn lend(&mut self, peer: &Name, amount: f64, until: Instant) {
        self.lent
            .retain(|loan| loan.peer != *peer || loan.amount > amount || loan.until > until);
        let end = self.lent.partition_point(|loan| loan.peer <= *peer);
        self.lent.insert(
            end,
            Loan {
                peer: peer.clone(),
                id: 0,
                amount,
                until,
            },
        );
    }

    /// Records a loan from a peer in place of the one before. An answer to an
    /// earlier request than that of the present loan is ignored.
    pub(crate) fn borrow(&mut self, peer: &Name, id: u64, amount: f64, until: Instant) -> bool {
        let loan = Loan {
            peer: peer.clone(),
            id,
            amount,
            until,
        };
        match self.borrowed.binary_search_by(|held| held.peer.cmp(peer)) {
            Ok(i) if self.borrowed[i].id > id => return false,
            Ok(i) => self.borrowed[i] = loan,
            Err(i) => self.borrowed.insert(i, loan),
        }
        true
    }

    /// First time after the given one at which a loan ends.
    pub(crate) fn next_end(&self, after: Instant) -> Option<Instant> {
        let loans = self.lent.iter().chain(&self.borrowed);
        loans
            .map(|loan| loan.until)
            .filter(|until| *until > after)
            .min()
    }

    /// Forgets loans that have ended.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.lent.retain(|loan| loan.until > now);
        self.borrowed.retain(|loan| loan.until > now);
    }
}

fn largest(loans: &[Loan], now: Instant) -> f64 {
    loans
        .iter()
        .filter(|loan| loan.until > now)
        .map(|loan| loan.amount)
        .fold(0.0, f64::max)
}
