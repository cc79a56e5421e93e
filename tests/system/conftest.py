"""Fixtures of tests with real processes."""

import pytest


@pytest.fixture
def programs():
    """A list of programs that are ended with the test."""
    started = []
    yield started
    for program in started:
        program.end()
