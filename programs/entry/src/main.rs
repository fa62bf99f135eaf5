//! Runs the entry program.

fn main() {}
