//! The benchmarks are in `benches/`; run them with `cargo bench -p dandeliondeal_benches`.
