use std::time::{Duration, Instant};

use cornelwinch_types::Name;
use serde::Deserialize;

use crate::UpstreamId;
use crate::cost_model::CostModel;

/// Interval between two checks of which services are uneven. It is also the period after which the
/// routes of a service are forgotten, if it is counted twice.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// How the upstream of a leg is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementMode {
    /// By recent slowness and the number of legs in flight.
    #[default]
    Latency,
    /// By the expected time to the answer.
    ExpectedWork,
    /// By the expected time to the answer for services whose learned speeds or costs are uneven,
    /// and as [`Latency`](Self::Latency) for the others.
    Learned,
}

/// A leg for which an upstream is chosen.
#[derive(Debug, Clone, Copy)]
pub struct LegRequest<'a> {
    /// Service that gets the leg.
    pub service: &'a Name,
    /// Zone of this host.
    pub zone: &'a Name,
    /// Route of the leg; `None` chooses by latency.
    pub route: Option<&'a Name>,
    /// Upstreams that are not chosen.
    pub tried: &'a [UpstreamId],
}

/// How a fleet chooses upstreams, with what it has learned for that.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    pub(crate) mode: PlacementMode,
    /// Zone of this host.
    pub(crate) zone: Option<Name>,
    pub(crate) model: CostModel,
    /// Services whose speeds or costs are uneven, sorted.
    pub(crate) uneven: Vec<Name>,
    pub(crate) next_check: Option<Instant>,
}

impl Placement {
    /// Returns the index of the route if its legs to the service are placed by expected time.
    pub(crate) fn expected_route(&self, service: &Name, route: Option<&Name>) -> Option<usize> {
        let applies = match self.mode {
            PlacementMode::Latency => false,
            PlacementMode::ExpectedWork => true,
            PlacementMode::Learned => self.uneven.binary_search(service).is_ok(),
        };
        if !applies {
            return None;
        }
        self.model.route(route?)
    }

    /// Returns the zone of an upstream if it is not that of this host.
    pub(crate) fn other_zone<'a>(&self, zone: &'a Name) -> Option<&'a Name> {
        self.zone
            .as_ref()
            .is_none_or(|own| own != zone)
            .then_some(zone)
    }
}

/// Returns a sample of an approximately normal distribution with variance 1.
pub(crate) fn normal(rng: &mut fastrand::Rng) -> f64 {
    2.0 * (rng.f64() + rng.f64() + rng.f64() - 1.5)
}
