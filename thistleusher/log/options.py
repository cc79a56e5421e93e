"""Options of the section `[log]` of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field


@dataclass(frozen=True, slots=True)
class LogOptions:
    """Format, level and queue of the log lines on standard error.

    form: JSON lines with stable fields (event, level, logger, timestamp), or text
    level: lowest level that is logged
    queue: maximum number of lines that wait for the reader of standard error; further lines are dropped and counted
    """

    form: Literal["json", "text"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"
    queue: Annotated[int, Field(ge=16, le=1_000_000)] = 10_000
