//! Journal of an entry: group commit, seal and recovery.
