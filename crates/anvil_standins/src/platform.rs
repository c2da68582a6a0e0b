//! The platform's list of live and leaving instances, lagging.
