//! Numbered result codes and the error type that carries them.

mod call;
mod code;

pub use call::{CallError, RunState};
pub use code::ResultCode;
