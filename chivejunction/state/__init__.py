"""Data classes and tables that one process owns."""
