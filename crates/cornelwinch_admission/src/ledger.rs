use std::time::Instant;

use cornelwinch_types::Name;

/// A host's part of one resource of an organisation: its own share, what it has
/// lent to other hosts and what it has borrowed from them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ledger {
    own: f64,
    /// By peer and its process. Several loans to one process may be
    /// outstanding; it uses only the newest one that reached it. An earlier
    /// process of the same name may have passed on what it borrowed.
    lent: Vec<Loan>,
    /// By peer, one from each.
    borrowed: Vec<Loan>,
}

#[derive(Debug, Clone)]
struct Loan {
    peer: Name,
    /// Number of the request that the loan answered.
    id: u64,
    amount: f64,
    until: Instant,
}

impl Loan {
    fn borrower(&self) -> (&str, u64) {
        (&self.peer, process(self.id))
    }
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

    /// Sum over the peers' processes of the most that each may be using.
    pub(crate) fn lent(&self, now: Instant) -> f64 {
        let by_process = self.lent.chunk_by(|a, b| a.borrower() == b.borrower());
        by_process.map(|loans| largest(loans, now)).sum()
    }

    /// The most that the process which sent a request may be using.
    pub(crate) fn lent_to(&self, peer: &str, id: u64, now: Instant) -> f64 {
        let borrower = (peer, process(id));
        let start = self.lent.partition_point(|loan| loan.borrower() < borrower);
        let end = self
            .lent
            .partition_point(|loan| loan.borrower() <= borrower);
        largest(&self.lent[start..end], now)
    }

    /// Records a loan to a peer.
    pub(crate) fn lend(&mut self, peer: &Name, id: u64, amount: f64, until: Instant) {
        if amount <= 0.0 {
            return;
        }
        let borrower = (&**peer, process(id));
        self.lent.retain(|loan| {
            loan.borrower() != borrower || loan.amount > amount || loan.until > until
        });
        let end = self
            .lent
            .partition_point(|loan| loan.borrower() <= borrower);
        self.lent.insert(
            end,
            Loan {
                peer: peer.clone(),
                id,
                amount,
                until,
            },
        );
    }

    /// Lowers the loans that the process which sent a request got before it, to
    /// what it promises to use of them.
    pub(crate) fn reclaim(&mut self, peer: &str, id: u64, held: f64) {
        for loan in &mut self.lent {
            if loan.borrower() == (peer, process(id)) && loan.id < id {
                loan.amount = loan.amount.min(held);
            }
        }
    }

    /// Gives up what is not wanted of the loan from a peer, as far as nothing
    /// in use depends on it, and returns what this host may go on using.
    ///
    /// `used` is in use here and cannot be taken back before the horizon, nor
    /// can what is lent.
    pub(crate) fn give_back(
        &mut self,
        now: Instant,
        horizon: Instant,
        peer: &Name,
        wanted: f64,
        used: f64,
    ) -> f64 {
        let horizon = self
            .lent
            .iter()
            .map(|loan| loan.until)
            .fold(horizon, Instant::max);
        let needed = (self.lent(now) + used - self.own).max(0.0);
        let lasting = self.borrowed(horizon);
        // Positive if a loan was replaced by a smaller one while the larger one
        // was in use; the lender still keeps the larger one for this host.
        let lacking = (needed - lasting).max(0.0);
        let Some(loan) = self.borrowed.iter_mut().find(|loan| loan.peer == *peer) else {
            return lacking;
        };
        let bound = if loan.until > horizon {
            loan.amount + needed - lasting
        } else {
            0.0
        };
        if lacking == 0.0 {
            loan.amount = loan.amount.min(wanted.max(bound));
        }
        loan.amount + lacking
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

/// Bits of a request's number that count the requests of one process; the
/// others are random for each process.
const COUNTER_BITS: u32 = 40;

/// First number of a process's requests.
pub(crate) fn first_id(rng: &mut fastrand::Rng) -> u64 {
    rng.u64(..1 << (u64::BITS - COUNTER_BITS)) << COUNTER_BITS
}

/// The process that sent a request.
pub(crate) fn process(id: u64) -> u64 {
    id >> COUNTER_BITS
}

fn largest(loans: &[Loan], now: Instant) -> f64 {
    loans
        .iter()
        .filter(|loan| loan.until > now)
        .map(|loan| loan.amount)
        .fold(0.0, f64::max)
}
