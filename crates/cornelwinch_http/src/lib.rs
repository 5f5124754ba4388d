//! HTTP listener with bounds on connections, body size and idle time.
