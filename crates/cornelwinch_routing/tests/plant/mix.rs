//! Who sends the requests of a pattern.

use cornelwinch_routing::Caller;

/// Number of classes of callers, each with a priority or an organisation of its own.
pub(crate) const CLASSES: usize = 12;

/// Share of the usual load that the large organisation sends, and its factor during the burst.
const LARGE_RATIO: f64 = 0.2;
const LARGE_FACTOR: f64 = 7.0;

/// Share of the requests that are urgent.
const URGENT_RATIO: f64 = 0.37;

/// Classes among which the requests of a pattern are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mix {
    /// One priority and no organisations.
    Uniform,
    /// Class 0 is more urgent than class 1.
    Priorities,
    /// Each class is an organisation. Class 0 is large and sends seven times its usual load in the
    /// burst; the others send the same load throughout.
    Organisations,
}

impl Mix {
    /// Returns the factor of the rate during the burst in addition to that of the pattern.
    pub(crate) fn burst_factor(self) -> f64 {
        match self {
            Self::Uniform | Self::Priorities => 1.0,
            Self::Organisations => 1.0 - LARGE_RATIO + LARGE_RATIO * LARGE_FACTOR,
        }
    }

    /// Draws the class of a request.
    pub(crate) fn draw(self, is_burst: bool, rng: &mut fastrand::Rng) -> usize {
        match self {
            Self::Uniform => 0,
            Self::Priorities => usize::from(rng.f64() >= URGENT_RATIO),
            Self::Organisations => {
                let factor = if is_burst { LARGE_FACTOR } else { 1.0 };
                let large = LARGE_RATIO * factor;
                if rng.f64() * (1.0 - LARGE_RATIO + large) < large {
                    0
                } else {
                    rng.usize(1..CLASSES)
                }
            }
        }
    }

    /// Returns what a host knows of a caller.
    pub(crate) fn caller(self, class: usize, can_meet_goal: bool) -> Caller {
        let is_organisation = self == Self::Organisations;
        Caller {
            organisation: is_organisation.then(|| format!("o{class}").into()),
            priority: if is_organisation { 1 } else { class as u32 },
            can_meet_goal,
        }
    }
}
