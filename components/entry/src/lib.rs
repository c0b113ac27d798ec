//! The process that speaks to callers and owns programs.
