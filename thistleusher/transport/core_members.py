"""The core machines as known to their subscribers. No I/O."""

from __future__ import annotations

from thistleusher.transport.messages import CoreInfo


class CoreMembers:
    """The core's voters and leader, of the newest known epoch."""

    def __init__(self) -> None:
        self.epoch = 0
        self.voters: tuple[str, ...] = ()
        self.leader = ""

    def update(self, info: CoreInfo) -> bool:
        """Apply a control process's message; return False if it is of an older epoch or names no voters."""
        if info.epoch < self.epoch or not info.voters:
            return False
        self.epoch = info.epoch
        self.voters = info.voters
        self.leader = info.leader
        return True
