//! Operators' command-line tool of azuretide.

fn main() {}
