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
    """A fake disk whose commits block until `let` is set; the next `fail` commits raise an error."""

    def __init__(self):
        self.let = threading.Event()
        self.began = threading.Event()
        self.fail = 0
        self.batches = []

    def commit(self, bodies):
        batch = dict(bodies)
        self.began.set()
        assert self.let.wait(10.0)
        if self.fail:
            self.fail -= 1
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
