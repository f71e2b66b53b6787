//! The `dandeliondeal-standin` program.

fn main() {}
