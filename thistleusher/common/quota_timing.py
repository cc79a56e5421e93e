"""The times and shares by which the counter service and the ingresses keep rate limits while out of contact.

Of each tenant's allowance the count admits the part `COUNTED_PART`. The part `STANDING_PART` is always with the
ingresses: each may spend its share of that whenever the counter says that the count is exhausted, or says nothing for
`VERDICT_WAIT_S`. Both parts together exceed one by less than the excess that the guarantee allows.

An ingress spends its share of the counted part too once it has had no echo for `LOCAL_QUOTA_FROM_S`; the counter
deducts that share from the count already `SHARE_DEDUCTED_S` after it sent the last echo that is known to have arrived.
`SHARE_DEDUCTED_S` and the travel time of a heartbeat together stay below `LOCAL_QUOTA_FROM_S`, so that no share is
spent twice.
"""

# Parts of a tenant's burst in one window.
COUNTED_PART = 0.65  # admitted by the count
STANDING_PART = 0.42  # admitted by the ingresses' shares of it, all together
STARTUP_SLACK_PART = 0.5  # of the guarantee's slack, that all incarnations starting at once have together

# Times at an ingress, in seconds.
VERDICT_WAIT_S = 0.25  # without the counter's verdict, after which an ingress looks to its standing share
HEARTBEAT_S = 0.12  # between an ingress's heartbeats to the counter
STATUS_REPORT_S = 0.6  # between full heartbeats, which also go to registries without the role
ECHO_MISSED_S = 0.3  # without an echo, after which all registries get one at once: another may have the role
LOCAL_QUOTA_FROM_S = 0.75  # without an echo, after which an ingress goes by its share
LOCAL_QUOTA_UNTIL_S = 15.0  # after the last echo, until which it may

# Times at the counter, in seconds.
SHARE_DEDUCTED_S = 0.5  # without a confirmed echo, after which an ingress's share is deducted
SHARE_FORGOTTEN_S = 20.0  # after which the counter no longer reserves the share of an ingress that it does not hear
SHARE_GATHERING_S = 1.0  # in which the first ingresses to get shares are collected

# Sizes of shares.
FIRST_SHARES_PART = 0.8  # assigned to the first ingresses
LATER_SHARE_PART = 0.25  # of what is left, that a later one gets at most

# Verdicts of the counter. With the last one the ingress decides by its own share.
ALLOWED = 0
OVER_LIMIT = 1
DECIDE_LOCALLY = 2
