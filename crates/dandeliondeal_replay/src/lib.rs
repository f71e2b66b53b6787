//! Replay of recorded traces against stated outcomes.
