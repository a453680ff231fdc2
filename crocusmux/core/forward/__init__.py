"""Forwarding data path: segments pass without terminating connections."""
