//! Commands: appending to a stream.

mod append;
mod batch;

pub use self::{append::append, batch::Batcher};
