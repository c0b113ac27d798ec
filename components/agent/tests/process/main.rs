//! Tests of the agent process over real connections, with stand-ins for its backend server and a fake entry.

mod calls;
mod configuration;
mod entry;
mod health;
mod leaving;
mod memory;
mod support;
