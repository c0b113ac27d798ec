//! Tests of the whole agent: real connections, the stand-ins for its backend server, a fake entry.

mod calls;
mod configuration;
mod entry;
mod leaving;
mod memory;
mod support;
