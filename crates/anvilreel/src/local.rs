//! All roles in one process on loopback.
