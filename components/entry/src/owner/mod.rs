//! Programs that one incarnation of an entry owns, and their calls.

mod admission;
mod archive;
mod attempt;
mod call;
mod ceiling;
mod cell;
mod commit;
mod core;
mod in_flight;
mod order;
mod outcome;
mod port;
mod release;
mod resume;
mod run;
mod settle;
mod table;

pub(crate) use archive::archive_program;
pub(crate) use call::OpenCall;
pub(crate) use ceiling::proven_spend;
pub(crate) use core::{OwnerCore, unknown_program};
pub(crate) use port::OwnerServer;
pub(crate) use release::release_cache;
pub(crate) use resume::resume_intents;
pub(crate) use settle::settle_unknown_calls;
