//! A TCP link that can be slowed, cut or silenced.
