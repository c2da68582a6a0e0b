//! A ledger replica as a process: sockets, disk and clock around the core.
