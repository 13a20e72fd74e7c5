//! Load and experiments.
