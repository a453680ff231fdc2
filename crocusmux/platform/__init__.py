"""Adapter to the users' platform: decodes its formats and decides nothing."""
