"""Forwarding of packets between callers and upstreams without terminating."""
