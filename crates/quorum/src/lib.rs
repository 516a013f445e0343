//! A replicated log for one part of the control state: leases, elections, change of the group, disk.
