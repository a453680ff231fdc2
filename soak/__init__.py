"""Soak test that runs the forwarding daemons under injected faults."""
