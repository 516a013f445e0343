//! Jobs that outlive the process: a log on disk of what happened to each (`log`), and the state that it tells (`book`), which
//! has no I/O and says what is to be done after a crash.

pub mod book;
pub mod log;
