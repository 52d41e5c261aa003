"""Bound the retries of one request over its whole call tree."""


class RetryAllowance:
    """Hold the retries that one call, and all calls beneath it, may still spend.

    What is lent to a child counts as spent until the child's answer returns it,
    so that the retries of a whole tree never exceed what its root was given.
    """

    __slots__ = ("granted", "left")

    def __init__(self, granted: int) -> None:
        self.granted = granted
        self.left = granted

    @property
    def spent(self) -> int:
        """Return what was spent here or is lent and not returned."""
        return self.granted - self.left

    def take(self) -> bool:
        """Spend one retry at this hop; tell if there was one."""
        if self.left < 1:
            return False
        self.left -= 1
        return True

    def lend(self) -> int:
        """Hand the larger half to a child, so that its siblings keep a share."""
        lent = (self.left + 1) // 2
        self.left -= lent
        return lent

    def reclaim(self, lent: int, charged: int) -> None:
        """Take back what a child whose answer came did not spend."""
        self.left += lent - min(max(charged, 0), lent)
