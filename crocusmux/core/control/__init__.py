"""Gossip of configuration, memberships, and calls to the object API."""
