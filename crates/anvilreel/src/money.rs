//! A router's grants and reservations.
