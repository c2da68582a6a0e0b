//! A plain service that counts how often each order ran.
