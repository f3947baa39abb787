"""Frames, verdicts, codecs, headers and validated data models."""
