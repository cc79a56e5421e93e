"""Explains the errors of an invalid settings file by means of pydantic.

Imported only for an invalid file: pydantic is slow to load, and a process may start while clients wait.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from pydantic import TypeAdapter, ValidationError

from thistleusher.common.node_settings import InvalidSettingError, NodeSettings
from thistleusher.common.record_reader import MAX_SHOWN, known_fields_only

NODE_SETTINGS: TypeAdapter[NodeSettings] = TypeAdapter(NodeSettings)


def explain_node_settings(table: dict[str, Any]) -> list[InvalidSettingError]:
    """Return one error for each invalid field in the table of a settings file."""
    try:
        NODE_SETTINGS.validate_python(known_fields_only(NodeSettings, table))
    except ValidationError as error:
        return [InvalidSettingError(line) for line in fault_lines(error, "file")]
    return []


def fault_lines(error: ValidationError, root_name: str) -> Iterable[str]:
    """Yield one line for each error that pydantic reports; `root_name` is the location of errors outside any field."""
    for fault in error.errors(include_url=False):
        location = ".".join(str(step) for step in fault["loc"]) or root_name
        if fault["type"].startswith("missing"):
            yield f"{location}: Field required"
        else:
            yield f"{location}: {fault['msg']}, found {str(fault.get('input'))[:MAX_SHOWN]!r}"
