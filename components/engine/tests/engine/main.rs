//! Tests of the client against fake backend servers with scripted reactions.

mod chat;
mod control;
mod plain;
mod support;
