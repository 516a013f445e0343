//! What follows for a node from the limits that its posting tells.

/// Bytes that requests may take together: a quarter of the memory, as what is written to executors holds
/// them once more, and the rest is for the node's own.
pub fn room(memory_mb: Option<f64>) -> usize {
    const ASSUMED_MB: f64 = 32.0; // the least that nodes are promised
    (memory_mb.unwrap_or(ASSUMED_MB) * 1024.0 * 1024.0 / 4.0) as usize
}

/// How many connections may be held from outside, and to executors: what is left when the node's own
/// descriptors are taken off, and `further` ones that are set aside, as for its console and its other processes, three
/// fifths and two. Clients hold one for each unit in hand, while one to an executor is free again as soon as it has
/// taken the job. Guards against one side using up the other's, and against clients that leave the staff none.
pub fn connections(sockets: Option<usize>, further: usize) -> (usize, usize) {
    const ASSUMED: usize = 1024; // the least that nodes are promised
    const OWN: usize = 16; // listener, watch, poller (3), signals (4), standard streams (3), and some to spare
    let all = sockets.unwrap_or(ASSUMED).saturating_sub(OWN + further).max(5);
    (all * 3 / 5, all * 2 / 5)
}
