"""Decision cores without I/O: callers pass time and random numbers in."""
