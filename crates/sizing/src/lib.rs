//! SITA-E: cut-offs that equalise summed size per executor, and the weighted pick inside a lane.
