//! SWIM membership within an availability zone and digests between zones.
