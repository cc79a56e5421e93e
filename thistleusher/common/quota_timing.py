"""The times and parts by which the counter service and the ingresses keep rate limits, also out of contact.

While an ingress is in contact, the counter's count alone admits its tenants' requests. An ingress without an echo for
`LOCAL_QUOTA_FROM_S` goes by its share of each limit; the counter deducts that share from what the count admits already
`SHARE_DEDUCTED_S` after it sent the last echo that is known to have arrived. `SHARE_DEDUCTED_S`, `DEDUCTION_REFRESH_S`
and the travel time of a heartbeat together stay below `LOCAL_QUOTA_FROM_S`, so that no share is spent twice.
"""

# Times at an ingress, in seconds.
VERDICT_WAIT_S = 0.25  # without the counter's verdict, after which an ingress looks to its reserve
HEARTBEAT_S = 0.12  # between an ingress's heartbeats to the counter
STATUS_REPORT_S = 0.6  # between full heartbeats, which also go to registries without the role
ECHO_MISSED_S = 0.3  # without an echo, after which all registries get one at once: another may have the role
LOCAL_QUOTA_FROM_S = 0.75  # without an echo, after which an ingress goes by its share
LOCAL_QUOTA_UNTIL_S = 15.0  # after the last echo, until which it may

# Times at the counter, in seconds.
SHARE_DEDUCTED_S = 0.5  # without a confirmed echo, after which an ingress's share is deducted
DEDUCTION_REFRESH_S = 0.05  # the longest for which a sum of deducted shares is used
SHARE_FORGOTTEN_S = 20.0  # after the last echo, after which an ingress's share is no longer deducted
SHARE_GATHERING_S = 1.0  # in which the first ingresses to get shares are collected

# Sizes of shares.
FIRST_SHARES_PART = 0.8  # assigned to the first ingresses
LATER_SHARE_PART = 0.25  # of what is left, that a later one gets at most
LATER_SHARE_OF_SMALLEST = 0.999  # of the smallest share, that a later one gets at most

# What all ingresses together may hold of a limit in whole requests: see `thistleusher.common.quota_shares`.
RESERVE_OF_EXCESS = 0.25  # of the excess that the guarantee allows
RESERVE_OF_SLACK = 0.5  # of the requests that it allows besides
RESERVE_OF_BURST_S = 0.4  # of the rate, as far as the burst leaves it
RESERVE_FILLED_S = 20.0  # in contact, in which an empty reserve becomes full
SLOTS_PER_SPAN = 20  # in which the counter sums up a span; a count leaves the span one slot late at most
CARRIED_S = 1.0  # of a share's accrual that an ingress out of contact may hold unspent

# Verdicts of the counter. Release 0.2 also had 2, "decide by your own share"; an ingress takes it as `OVER_LIMIT`.
ALLOWED = 0
OVER_LIMIT = 1
