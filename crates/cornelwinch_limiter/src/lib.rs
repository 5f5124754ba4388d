//! Slots, queue, cold start and circuit of one upstream.
