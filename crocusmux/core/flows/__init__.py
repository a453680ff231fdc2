"""Terminating data path: cores of balancer and agent, and flow ownership."""
