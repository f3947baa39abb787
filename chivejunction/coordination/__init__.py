"""Decisions and the tasks that act on state over the transports."""
