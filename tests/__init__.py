"""Tests of chivejunction."""
