//! Intentionally empty: the code of this package is in its binary, `main.rs`.
