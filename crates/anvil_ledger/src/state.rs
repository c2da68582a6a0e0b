//! What the committed commands make.
