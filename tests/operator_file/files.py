"""Writes a file for a test."""

from __future__ import annotations


def written(tmp_path, text, name="operator.toml"):
    path = tmp_path / name
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return str(path)
