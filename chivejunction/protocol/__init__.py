"""Messages, verdicts, codecs and validated models."""
