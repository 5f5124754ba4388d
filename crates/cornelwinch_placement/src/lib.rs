//! Assignment of upstreams to owner hosts by bounded rendezvous hashing.
