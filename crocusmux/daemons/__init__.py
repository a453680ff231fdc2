"""Sockets and timers around the decision cores."""
