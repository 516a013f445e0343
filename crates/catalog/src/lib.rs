//! The operators' configuration: reading, checks, routes; and the settings of a process.
