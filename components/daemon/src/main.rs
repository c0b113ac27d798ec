//! The azuretide daemon.

fn main() {}
