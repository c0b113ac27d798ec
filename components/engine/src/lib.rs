//! Client of a backend server.
