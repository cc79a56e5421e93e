"""Holds a customer to its allowance while the counter cannot be trusted: shares in escrow, with a stated bound.

Pure: no I/O and no clock. The ingresses of a customer's set never let in more than the whole allowance between them;
the decision module asks for verdicts through `core.decision_ports.Escrow`.
"""

from thistleusher.quota.bound import Bound, bound_of
from thistleusher.quota.escrow import EscrowTable
from thistleusher.quota.placement import Placement

__all__ = ["Bound", "EscrowTable", "Placement", "bound_of"]
