//! The operators' client.

fn main() {}
