"""Decision logic without I/O: pure functions and state machines that get the time passed in."""
