"""Shared helpers of the state tests: a member record, a fake disk and a manual scheduler."""

from __future__ import annotations

import sqlite3
import threading

from tests.quota.world import BASIC, PLUS
from tests.quota.world import settings as settings_of
from thistleusher.assembly import allowance_terms
from thistleusher.state.records import MemberRecord

PLANS = {p.name: p for p in (BASIC, PLUS)}


TERMS = allowance_terms(settings_of(0))


def member(key=7, **more):
    fields = dict(
        key=key,
        plan="plus",
        rate=16.0,
        burst=36.0,
        level=3.0,
        at=100.0,
        window=44,
        acknowledged=5.0,
        pending=2.5,
        admitted_quarters=40,
        peer_quarters={1: 12},
    )
    return MemberRecord(**{**fields, **more})


class SlowDisk:
    """A fake disk whose commits block until `released` is set; the next `failures_left` commits fail."""

    def __init__(self):
        self.released = threading.Event()
        self.commit_started = threading.Event()
        self.failures_left = 0
        self.batches = []

    def commit(self, bodies):
        batch = dict(bodies)
        self.commit_started.set()
        assert self.released.wait(10.0)
        if self.failures_left:
            self.failures_left -= 1
            raise sqlite3.OperationalError("database or disk is full")
        self.batches.append(batch)


class ManualScheduler:
    """Collects scheduled callbacks in `due` without calling them."""

    def __init__(self):
        self.due = []

    def call_later(self, delay, callback):
        self.due.append((delay, callback))
        return self

    def cancel(self):
        self.due.clear()
