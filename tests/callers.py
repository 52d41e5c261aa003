"""Send requests as callers do, on plain sockets."""

import collections
import itertools

import gevent


def make_request(attempt="a1", method="GET", path="/read/1"):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
        f"Fuchsiaspool-Attempt-Id: {attempt}\r\nFuchsiaspool-Deadline-Ms: 900\r\n\r\n"
    ).encode()


def receive_until(socket, end, timeout=2.0):
    """Return what arrives until `end`, a close or the timeout."""
    socket.settimeout(timeout)
    data = b""
    try:
        while end not in data:
            piece = socket.recv(65536)
            if not piece:
                break
            data += piece
    except OSError as error:
        return data + b" <%s>" % repr(error).encode()
    return data


class Load:
    """Send requests on kept and new connections until none can be opened."""

    def __init__(self, connect, path="/read/1", callers=40):
        self.unanswered = []
        self.answered = 0
        self.statuses = collections.Counter()
        self._connect = connect
        self._path = path
        self._numbers = itertools.count()
        self._callers = [gevent.spawn(self._call_often) for _ in range(callers)]

    def wait(self):
        gevent.joinall(self._callers, timeout=4)

    def find_lost(self, server):
        name = "fuchsiaspool-attempt-id"
        passed_on = {request.headers.get(name) for request in server.requests}
        return passed_on.intersection(self.unanswered)

    def describe(self):
        return f"{self.answered} answered, {len(self.unanswered)} not"

    def _call_often(self):
        socket = None
        while True:
            attempt = f"n{next(self._numbers)}"
            try:
                socket = socket or self._connect()
            except OSError:
                return
            try:
                socket.sendall(make_request(attempt, path=self._path))
                received = receive_until(socket, b"\r\n\r\n", 3.0)
            except OSError:
                received = b""
            if not received.startswith(b"HTTP/1.1"):
                self.unanswered.append(attempt)
                socket = None
                continue
            self.answered += 1
            self.statuses[int(received[9:12])] += 1
            if b"connection: close" in received.lower():
                socket = None
            gevent.sleep(0.01)
