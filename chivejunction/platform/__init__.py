"""Adapter that runs the router on the users' platform.

It only translates: settings file, store, configuration, server entries and
HTTP headers to the types of the router and back.
"""
