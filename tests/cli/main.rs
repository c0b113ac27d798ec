//! Tests of the command-line tool against a fake entry.

mod apply;
mod fake_entry;
mod tool;
