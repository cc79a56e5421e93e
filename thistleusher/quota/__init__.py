"""What holds a member to its allowance while the counter cannot be trusted: escrowed shares, and a stated bound.

Pure: no I/O and no clock. The decision module asks it for a verdict through `interface.Escrow`; it never lets the
ingresses of a member's set have more than the whole allowance between them.
"""

from thistleusher.quota.bound import Bound, bound_of
from thistleusher.quota.escrow import EscrowTable
from thistleusher.quota.placement import Placement

__all__ = ["Bound", "EscrowTable", "Placement", "bound_of"]
