"""Identify requests that are the same, although they are sent again under other ids."""

from hashlib import blake2b
from typing import Final

from .bodies import MAX_BUFFERED_BYTES
from .calls import Call
from .http.messages import find_header
from .ids import Fingerprint

_DIGEST_BYTES: Final = 8


def compute_fingerprint(call: Call) -> Fingerprint:
    """Return the same number for calls of the same method, host, target and body.

    Of a body that is streamed, the first bytes count.
    """
    host = find_header(call.headers, b"host") or ""
    # A body sent in chunks states no length.
    length = str(call.body.length) if call.body.fully_buffered else ""
    parts = (call.method, host.lower(), call.target, length)
    digest = blake2b("\n".join(parts).encode(), digest_size=_DIGEST_BYTES)
    # How many more of a streamed body were read by chance differs each time.
    digest.update(b"\n" + call.body.buffered[:MAX_BUFFERED_BYTES])
    return Fingerprint(int.from_bytes(digest.digest(), "big"))
