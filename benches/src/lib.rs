//! Benchmarks of dandeliondeal live in `benches/`; see `cargo bench -p dandeliondeal_benches`.
