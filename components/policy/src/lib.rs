//! Scheduling decisions as pure functions.
