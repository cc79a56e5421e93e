"""The times and shares by which the counter service and the ingresses keep quotas while they do not hear each other.

Of each tenant's allowance the count gives out the part `COUNTED`; the part `STANDING` is always with the ingresses,
each of which may spend its share of that whenever the counter says that the count is spent or says nothing for
`PROMPT_S`. `COUNTED` and `STANDING` together pass one by less than the excess that the rule allows.

An ingress spends its share of the counted part too once it has had no echo for `ALONE_S`; the counter takes that
share off the count already `LOST_S` after it sent the last echo that is known to have come. `LOST_S` and the way of a
beat together stay below `ALONE_S`.
"""

COUNTED_PART = 0.65  # of a burst, that the count gives out in a window
STANDING_PART = 0.42  # of a burst, that shares of it give out in one
STARTUP_SLACK_PART = 0.5  # of the rule's slack, that all lives beginning at once have together at their start
VERDICT_WAIT_S = 0.25  # without the counter's verdict, after which an ingress looks to its standing share
HEARTBEAT_S = 0.12  # between an ingress's beats to the counter
STATUS_REPORT_S = 0.6  # between beats in full, and to registries that do not hold the duty
ECHO_MISSED_S = 0.3  # without an echo, after which all are told at once: another may hold the duty
SHARE_DEDUCTED_S = 0.5  # without a confirmed echo, after which the counter takes an ingress's share off
LOCAL_QUOTA_FROM_S = 0.75  # without an echo, after which an ingress goes by its share
LOCAL_QUOTA_UNTIL_S = 15.0  # after the last echo, until which it may
SHARE_FORGOTTEN_S = 20.0  # after which the counter no longer keeps room for the share of one that it does not hear
FIRST_SHARES_PART = 0.8  # given out as shares to those who come first
LATER_SHARE_PART = 0.25  # of what is left, that a later one gets
SHARE_GATHERING_S = 1.0  # in which the first come
# Verdicts of the counter. The last one: the ingress decides by its own share.
ALLOWED = 0
OVER_LIMIT = 1
DECIDE_LOCALLY = 2
