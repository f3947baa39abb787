"""Adapter between the users' platform and the router.

Converts the platform's settings file, store, configuration, server entries
and HTTP headers to the types of the router and back.
"""
