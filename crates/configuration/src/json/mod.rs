//! Reads JSON: parsing with checks of depth and duplicate keys, splitting of large texts without building a tree, and
//! typed access to fields.

mod error;
mod fields;
mod parse;
mod scan;
mod split;

pub use error::JsonError;
pub use fields::FieldError;
pub(crate) use fields::{Fields, texts};
pub(crate) use parse::parse;
pub(crate) use split::{elements, members};
