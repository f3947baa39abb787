"""Decisions about load: which tier and server, who waits, who is rejected.

The modules take plain data and return a decision. They open no connections,
start no tasks and do not sleep; ``coordination`` calls them.
"""
