"""The times and shares by which the counter service and the ingresses keep quotas while they do not hear each other.

An ingress decides by its share only once it has had no echo for `ALONE_S`; the counter takes that share off the
allowance already `LOST_S` after the last beat whose echo is known to have come. `LOST_S` plus the way of a beat stays
below `ALONE_S`.
"""

HERE_S = 0.2     # between an ingress's beats to the counter
LOST_S = 0.85    # without a confirmed beat, after which the counter takes an ingress's share off
ALONE_S = 1.15   # without an echo, after which an ingress goes by its share
SHARE_S = 15.0   # after the last echo, until which it may
FORGET_S = 20.0  # after which the counter no longer keeps room for the share of one that it does not hear
GIVEN = 0.8      # of the allowance, that is given out as shares to those who come first
ROOM = 0.25      # of what is left, that a later one gets
GATHER_S = 1.0   # in which the first come
OK, OVER, ALONE = 0, 1, 2  # verdicts of the counter: goes on, refused, to be decided by the ingress's own share
