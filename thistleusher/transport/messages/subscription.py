"""Messages between the publisher of a state (control process, registry) and its subscribers (proxies, registries)."""

from __future__ import annotations

from typing import Any

from thistleusher.transport.messages.base import Items, Message


class SubscribeRequest(Message, tag="follow", frozen=True):
    """A subscriber's first message: its name, and the number of its copy of the state (0: no copy)."""

    sender: str
    number: int


class StateUpdate(Message, tag="news", frozen=True):
    """The items changed between state `base` and state `number`; all items of `number` if `base` is None."""

    number: int
    base: int | None
    items: Items


class StateUpdateAck(Message, tag="news-ack", frozen=True):
    """The subscriber has applied the state of this number."""

    number: int


class CoreInfo(Message, tag="core", frozen=True):
    """The core machines: the voters and the leader of an epoch."""

    voters: tuple[str, ...]
    epoch: int
    leader: str


class PersistItems(Message, tag="keep", frozen=True):
    """The registry asks the control process to persist items; `request_id` identifies the request."""

    request_id: str
    items: dict[str, Any]


class ItemsPersisted(Message, tag="kept", frozen=True):
    """The reply: `ok` is True if the items were persisted."""

    request_id: str
    ok: bool
