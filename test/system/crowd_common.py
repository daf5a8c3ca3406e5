"""Crowds of clients that nobody controls, and what a process must keep while they are there.

The crowd and the bounds below follow from the stated target and stay as they are: a process stays within the memory and the
descriptors of its settings, lives, and answers an ordinary request while the crowd's connections are still open."""

import http.client
import os
import selectors
import socket
import time
import unittest

CROWD = 48
MEMORY_MB = 64
DESCRIPTORS = 160
LIMIT = 4 * 1024 * 1024
# Short of the limit by this, so that the body stays one that may still end in order.
SHORT = 100 * 1024
# A crowd that the process reads slowly sends no longer than this.
SENDING_S = 3.0
# An ordinary caller tries again; a process that answers none of these hangs.
TRIES, TRY_S = 4, 3.0

PAGE = b"x" * 65536


def head(method, path, fields):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: a.example", *fields, "", ""]
    return "\r\n".join(lines).encode()


def chunked(path, fields, piece, total):
    """A chunked body of about total bytes that stops before its end."""
    chunk = b"%x\r\n%s\r\n" % (len(piece), piece)
    many = max(1, len(PAGE) // len(chunk))
    yield head("POST", path, [*fields, "Transfer-Encoding: chunked"])
    sent = 0
    while sent < total:
        n = min(many, (total - sent + len(piece) - 1) // len(piece))
        yield chunk * n
        sent += n * len(piece)


def announced(path, fields, length, total):
    yield head("POST", path, [*fields, "Content-Length: %d" % length])
    for _ in range(0, total, len(PAGE)):
        yield PAGE


def endless_head(path, fields):
    yield head("GET", path, fields)[:-2]
    for n in range(3 * LIMIT // 1000):
        yield b"X-Filler-%d: %s\r\n" % (n, PAGE[:1000])


def unread(path, fields, count):
    """Requests whose answers nobody reads."""
    for _ in range(count):
        yield head("GET", path, fields)


def drip(path, fields):
    """One byte a second; the crowd sends one each time it is asked for more."""
    for it in head("POST", path, [*fields, "Content-Length: 100"]):
        yield bytes([it])


class Member:
    def __init__(self, address, parts):
        self.parts = parts
        self.waiting = b""
        self.is_done = False
        self.socket = socket.socket()
        # Answers that nobody reads must not vanish in a large buffer of this side.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.settimeout(2)
        try:
            self.socket.connect(address)
        except OSError:
            self.is_done = True
        self.socket.setblocking(False)

    def send(self):
        if not self.waiting:
            self.waiting = next(self.parts, b"")
            self.is_done = not self.waiting
        try:
            self.waiting = self.waiting[self.socket.send(self.waiting):]
        except BlockingIOError:
            pass
        except OSError:
            self.is_done = True


class Crowd:
    """Connections that send what they are given and then stay open until the end of the context."""

    def __init__(self, address, make_parts, is_slow=False):
        self.members = [Member(address, make_parts()) for _ in range(CROWD)]
        self.is_slow = is_slow

    def __enter__(self):
        end = time.monotonic() + SENDING_S
        if self.is_slow:
            while time.monotonic() < end:
                for it in self.members:
                    if not it.is_done:
                        it.send()
                time.sleep(1)
            return self
        selector = selectors.DefaultSelector()
        for it in self.members:
            if not it.is_done:
                selector.register(it.socket, selectors.EVENT_WRITE, it)
        while selector.get_map() and time.monotonic() < end:
            for key, _ in selector.select(0.1):
                key.data.send()
                if key.data.is_done:
                    selector.unregister(key.fileobj)
        selector.close()
        return self

    def __exit__(self, *_):
        for it in self.members:
            it.socket.close()


UPGRADE = (b"GET / HTTP/1.1\r\nHost: a.example\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
           b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
FINAL, CONTINUED, BINARY, PING = 0x80, 0, 2, 9
LINK_MESSAGE = 30 * 1024 * 1024


def frame_head(bits, length):
    """The head of a masked frame; its key is zero, so that the payload stays as it is."""
    return bytes([bits, 0xFF]) + length.to_bytes(8, "big") + bytes(4)


def link_message(total):
    """A message that is announced whole and stops before its end."""
    yield UPGRADE + frame_head(FINAL | BINARY, LINK_MESSAGE)
    for _ in range(0, total, len(PAGE)):
        yield PAGE


def link_fragments(total):
    """A message in fragments that has no end."""
    yield UPGRADE
    for sent in range(0, total, len(PAGE)):
        yield frame_head(CONTINUED if sent else BINARY, len(PAGE)) + PAGE


def link_pings(count):
    """Pings whose answers nobody reads."""
    ping = bytes([FINAL | PING, 0x80 | 125]) + bytes(4) + PAGE[:125]
    yield UPGRADE
    for _ in range(0, count, 500):
        yield ping * 500


def link_kinds():
    """Every crowd of strangers at an address for links between instances."""
    total = LINK_MESSAGE - SHORT
    return {
        **kinds("/", []),
        "announced as long as a message": lambda: announced("/", [], LINK_MESSAGE, total),
        "a message short of its end": lambda: link_message(total),
        "fragments of a message": lambda: link_fragments(total),
        "pings": lambda: link_pings(400_000),
    }


def reset_peak(pid):
    with open("/proc/%d/clear_refs" % pid, "w") as out:
        out.write("5")


def peak_mb(pid):
    """The largest resident memory that a process had since its peak was reset."""
    with open("/proc/%d/status" % pid) as source:
        lines = dict(it.split(":", 1) for it in source if ":" in it)
    return int(lines["VmHWM"].split()[0]) / 1024


def descriptors(pid):
    return len(os.listdir("/proc/%d/fd" % pid))


def kinds(path, fields, piece_total=128 * 1024):
    """Every crowd that sends to a path."""
    total = LIMIT - SHORT
    return {
        "large chunks": lambda: chunked(path, fields, PAGE, total),
        "chunks of 1 KB": lambda: chunked(path, fields, PAGE[:1024], total),
        "chunks of a byte": lambda: chunked(path, fields, b"x", piece_total),
        "announced, short of its end": lambda: announced(path, fields, LIMIT - 1, total),
        "announced over the limit": lambda: announced(path, fields, 10 ** 9, 3 * LIMIT),
        "sent over the limit": lambda: chunked(path, fields, PAGE, 3 * LIMIT),
        "heads without an end": lambda: endless_head(path, fields),
        "a byte a second": lambda: drip(path, fields),
    }


class CrowdTest(unittest.TestCase):
    """Sends crowds to one address of one process. ordinary() sends one ordinary request and returns whether it was answered."""

    def check(self, name, process, address, parts, ordinary):
        with self.subTest(crowd=name, port=address[1]):
            reset_peak(process.pid)
            with Crowd(address, parts, is_slow=name == "a byte a second"):
                answered = any(self.is_answered(ordinary) for _ in range(TRIES))
                self.assertIsNone(process.poll(), "the process ended")
                seen = "peak %.0f MB, %d descriptors, ordinary request %s" % (
                    peak_mb(process.pid), descriptors(process.pid), "answered" if answered else "not answered")
                print("%s at port %d: %s" % (name, address[1], seen), flush=True)
                self.assertLessEqual(peak_mb(process.pid), MEMORY_MB, seen)
                self.assertLessEqual(descriptors(process.pid), DESCRIPTORS, seen)
                self.assertTrue(answered, seen)

    @staticmethod
    def is_answered(ordinary):
        try:
            return ordinary(TRY_S)
        except (OSError, ValueError, http.client.HTTPException):
            time.sleep(0.1)
            return False
