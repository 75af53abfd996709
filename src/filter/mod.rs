//! The filter chain that every caller's request passes.
