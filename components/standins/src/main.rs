//! Development stand-ins.

fn main() {}
