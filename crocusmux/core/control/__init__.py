"""Spreading of configuration, memberships, and calls on the object API."""
