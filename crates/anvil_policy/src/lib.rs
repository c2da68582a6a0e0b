//! Decisions under load: what is let in, what waits, what is turned away and where work goes.
