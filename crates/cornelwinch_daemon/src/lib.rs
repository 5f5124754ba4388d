//! Adapters and the event loop that drive a host with sockets.
