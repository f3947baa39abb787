"""Bindings to uvicorn, httpcore and pynng."""
