"""Adapter to the users' platform: decodes its names, decides nothing."""
