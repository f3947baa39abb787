"""Stand-ins for the outside systems, one process each."""
