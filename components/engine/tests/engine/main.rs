//! Tests of the client against scripted backend servers.

mod chat;
mod control;
mod plain;
mod support;
