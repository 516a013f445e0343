//! Guards of the tier, each with the text that holds it in the source, the text without it, and the test that notices when
//! it is gone.
//!
//! A guard that no test misses is one that the next change may lose. So a copy of the workspace is made, one guard at a time
//! is taken out of it, and the named test is run there: it has to fail. The product has no switch for that.

pub mod copy;
pub mod table;
pub mod trial;
