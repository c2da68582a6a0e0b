//! One caller's request through the router, as a state machine.
