//! The `dandeliondeal-entry` program.

fn main() {}
