"""Whether replies tell requests apart, so that a second copy of a reply is recognized by its content.

Some endpoints send a reply twice. If replies to different requests differ, one that equals the previous reply
on its connection is a second copy, and a connection can be used again before the time for second copies is
over. Whether they differ depends on the deployment, so it is observed.
"""

MIN_DISTINCT_REPLIES = 12  # in a row, after which replies are taken to tell requests apart


class ReplyDistinctness:
    """Counts the replies in a row that differed from the previous reply on their connection."""

    def __init__(self) -> None:
        self.distinct_in_a_row = 0

    def add(self, is_distinct: bool) -> None:
        """Adds an observation: whether a reply differed from the previous one on its connection."""
        self.distinct_in_a_row = self.distinct_in_a_row + 1 if is_distinct else 0

    @property
    def is_reliable(self) -> bool:
        """Whether a reply that equals the previous one is taken for a second copy of it."""
        return self.distinct_in_a_row >= MIN_DISTINCT_REPLIES
