//! Stand-ins for upstreams and the platform, for tests and measurements.
