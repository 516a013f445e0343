//! Reading JSON by hand: guarded parsing, a frame that is cut without a tree, and typed fields.

mod error;
mod fields;
mod frame;
mod parse;
mod scan;

pub use error::JsonError;
pub use fields::FieldError;
pub(crate) use fields::{Fields, texts};
pub(crate) use frame::{elements, members};
pub(crate) use parse::parse;
