//! The `dandeliondeal` program.

fn main() {}
