//! Plumbing of every program: HTTP/1.1 heads and bodies, buffers, listeners, signals, the poller, links between nodes.
