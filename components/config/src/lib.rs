//! Settings of a process and the configuration text of the platform.
