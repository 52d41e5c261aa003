"""Bound the retries of one request over its whole call tree."""


class RetryAllowance:
    """Track the retries that one call and all its nested calls may still make.

    Retries lent to a nested call count as spent until its outcome returns the rest,
    so that the retries of a whole call tree never exceed what its root was granted.
    """

    __slots__ = ("granted", "left")

    def __init__(self, granted: int) -> None:
        self.granted = granted
        self.left = granted

    @property
    def spent(self) -> int:
        """Return the retries that are spent, or lent and not yet returned."""
        return self.granted - self.left

    def take(self) -> bool:
        """Spend one retry; return whether one was left."""
        if self.left < 1:
            return False
        self.left -= 1
        return True

    def lend(self) -> int:
        """Lend the larger half to a nested call, so that its siblings keep a share."""
        lent = (self.left + 1) // 2
        self.left -= lent
        return lent

    def reclaim(self, lent: int, spent: int) -> None:
        """Take back what a nested call did not spend, once its outcome is known."""
        self.left += lent - min(max(spent, 0), lent)
