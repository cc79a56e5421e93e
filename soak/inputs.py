"""Mutated input bytes for the readers, many per case; an input that breaks a reader is minimized."""

from __future__ import annotations

import random
import traceback

from soak.case import Case, Outcome
from soak.mutate import Corpus, minimize_bytes, mutate
from soak.reader_tools import RuleBrokenError
from soak.readers import READERS


def draw(seed: int, count: int = 1500) -> Case:
    """Draw a case of `count` inputs for one reader."""
    return Case("bytes", seed, {"target": random.Random(seed).choice(sorted(READERS)), "count": count})


def run(case: Case) -> Outcome:
    """Feed the inputs to the reader; a case with `data` (hex) feeds only that input."""
    target = str(case.size["target"])
    check, given = READERS[target]
    if "data" in case.size:
        why = failure_of(target, bytes.fromhex(str(case.size["data"])), case.seed)
        return Outcome(why, target)
    rng, corpus, count = random.Random(case.seed), Corpus(given), int(case.size["count"])
    for n in range(count):
        data, at = mutate(rng, corpus.inputs), rng.getrandbits(32)
        try:
            corpus.add_if_new(data, check(data, random.Random(at)))
        except Exception as error:
            return Outcome(f"{description(error)}; data {data.hex()} at {at}", target, n + 1)
    return Outcome(count=count)


def failure_of(target: str, data: bytes, seed: int) -> str:
    """Return the error that one input causes, or an empty string."""
    try:
        READERS[target][0](data, random.Random(seed))
    except Exception as error:
        return description(error)
    return ""


def description(error: Exception) -> str:
    """Format an error with the code location that raised it."""
    if isinstance(error, RuleBrokenError):
        return str(error)
    last = traceback.extract_tb(error.__traceback__)[-1]
    return f"{type(error).__name__}: {str(error)[:200]} at {last.filename.rpartition('/')[2]}:{last.lineno} {last.name}"


def minimize(case: Case, outcome: Outcome) -> Case:
    """Return a case of the failed input alone, reduced to the bytes that still cause an error of the same kind."""
    text = outcome.failure.rpartition("; data ")[2]
    if "data" in case.size:
        target, data, seed = str(case.size["target"]), bytes.fromhex(str(case.size["data"])), case.seed
    else:
        hexed, _, at = text.partition(" at ")
        target, data, seed = outcome.check, bytes.fromhex(hexed), int(at)
    kind = failure_of(target, data, seed).partition(":")[0]
    least = minimize_bytes(data, lambda d: bool(kind) and failure_of(target, d, seed).partition(":")[0] == kind)
    return Case("bytes", seed, {"target": target, "data": least.hex()})
