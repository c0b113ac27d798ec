//! Tests of the call table: tables of cases and random histories.

mod cases;
mod history;
mod programs;
mod queue;
mod support;
mod suspension;
