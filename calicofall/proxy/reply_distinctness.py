"""Whether replies tell requests apart, so that a second copy of a reply is recognized by its content.

Some endpoints send a reply twice. If replies to different requests differ, one that equals the previous reply
on its connection is a second copy, and a connection can be used again before the time for second copies is
over. Whether they differ depends on the deployment, so it is observed, as is which replies recur: constant
receipts, and values that are read often.
"""

MIN_DISTINCT_REPLIES = 12  # in a row, after which replies are taken to tell requests apart
REMEMBERED_REPLIES = 1024  # the last ones, among which a reply recurs


class ReplyDistinctness:
    """The last replies, and how many in a row differed from the previous one on their connection."""

    def __init__(self) -> None:
        self.distinct_in_a_row = 0
        self.remembered: dict[int, None] = {}  # fingerprints of the last replies, the oldest first

    def add(self, is_distinct: bool) -> None:
        """Adds an observation: whether a reply differed from the previous one on its connection."""
        self.distinct_in_a_row = self.distinct_in_a_row + 1 if is_distinct else 0

    def remember(self, fingerprint: int) -> bool:
        """Remembers a reply that is no second copy; returns whether it recurs."""
        recurs = fingerprint in self.remembered
        if recurs:
            del self.remembered[fingerprint]
        self.remembered[fingerprint] = None
        if len(self.remembered) > REMEMBERED_REPLIES:
            del self.remembered[next(iter(self.remembered))]
        return recurs

    @property
    def is_reliable(self) -> bool:
        """Whether a reply that equals the previous one is taken for a second copy, unless that one recurs."""
        return self.distinct_in_a_row >= MIN_DISTINCT_REPLIES
