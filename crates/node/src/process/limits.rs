//! The limits of a node that follow from its settings.

/// The memory in bytes that requests may take together, for this memory of the node in MB: a quarter of it, as what is
/// written to executors holds each request once more, and the rest is for the node itself.
pub fn request_memory(memory_mb: Option<f64>) -> usize {
    const ASSUMED_MB: f64 = 32.0; // the guaranteed minimum for a node
    (memory_mb.unwrap_or(ASSUMED_MB) * 1024.0 * 1024.0 / 4.0) as usize
}

/// The maximum numbers of inbound connections and of connections to executors. `sockets` is the configured number of
/// descriptors, and `reserved` the number that is set aside, as for the console and sibling processes. Of what is left
/// after the node's own descriptors, three fifths are for inbound connections and two fifths for executors: a client
/// holds one for each open request, while one to an executor is free again as soon as it has accepted the request.
/// Guards against one kind using up the descriptors of the other, and against clients that leave none for operators.
pub fn connections(sockets: Option<usize>, reserved: usize) -> (usize, usize) {
    const ASSUMED: usize = 1024; // the guaranteed minimum for a node
    const OWN: usize = 16; // listener, watch, poller (3), signals (4), standard streams (3), and a reserve
    let all = sockets.unwrap_or(ASSUMED).saturating_sub(OWN + reserved).max(5);
    (all * 3 / 5, all * 2 / 5)
}
