"""A proxy on the loopback between the processes of a soak, which delays, resets, silences and heals connections."""

import collections
import os
import selectors
import socket
import struct
import threading
import time

# Bytes that wait in one direction before the proxy stops reading, as a full link would.
MAX_HELD = 1 << 18
CHUNK = 1 << 16
# Time after which rules are looked at again when no bytes move, in seconds.
TICK = 0.02
# Of the kernel's interface sock_diag(7).
NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST = 4, 20, 1
NETLINK_HEADER, INODE_OFFSET, ANY = 16, 68, 0xFFFFFFFF


class Rule:
    """What happens between two sets of processes while it is in force. None stands for everyone."""

    def __init__(self, how, sources=None, targets=None, delay=0.0, to_target=True, to_source=True):
        self.how, self.delay = how, delay
        self.sources, self.targets = sources, targets
        self.to_target, self.to_source = to_target, to_source

    def covers(self, source, target):
        return (self.sources is None or source in self.sources) and (self.targets is None or target in self.targets)


class Flow:
    """One direction of a connection."""

    def __init__(self, near, far, to_target):
        self.near, self.far, self.to_target = near, far, to_target
        self.held = collections.deque()
        self.size = 0
        self.ended = False


class Pair:
    """A connection through the proxy, by the names of its ends."""

    def __init__(self, source, target, near, far, address):
        self.source, self.target, self.address = source, target, address
        self.flows = [Flow(near, far, True), Flow(far, near, False)]
        self.closed = False


def diagnosed_inode(local, remote):
    """Asks the kernel for the inode of one connection, by its ends as pairs of host and port.

    Throws OSError if the kernel does not tell, or knows no such connection."""
    ends = struct.pack("!HH4s12x4s12x", local[1], remote[1], socket.inet_aton(local[0]), socket.inet_aton(remote[0]))
    # Any interface and any cookie, all states.
    request = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY) + ends + struct.pack("=III", 0, ANY, ANY)
    header = struct.pack("=IHHII", NETLINK_HEADER + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as kernel:
        kernel.settimeout(1)
        kernel.send(header + request)
        answer = kernel.recv(CHUNK)
    if struct.unpack_from("=H", answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
        raise OSError("the kernel knows no such connection")
    return struct.unpack_from("=I", answer, NETLINK_HEADER + INODE_OFFSET)[0]


def listed_inode(local, remote):
    """Looks for the inode of one connection in the list of all of the machine; None if it has none."""
    wanted = ["%s:%04X" % (socket.inet_aton(host)[::-1].hex().upper(), port) for host, port in (local, remote)]
    with open("/proc/net/tcp", encoding="ascii") as table:
        return next((fields[9] for fields in map(str.split, table) if fields[1:3] == wanted), None)


def owner_of(near, pids):
    """Returns the name of the process whose connection was accepted, or None. pids: name to process id."""
    try:
        local, remote = near.getpeername(), near.getsockname()
    except OSError:
        # Reset before it was accepted.
        return None
    try:
        # The list of all grows with what other programs on the machine do, and the proxy stands still while it is read.
        inode = diagnosed_inode(local, remote)
    except OSError:
        inode = listed_inode(local, remote)
    link = f"socket:[{inode}]"
    for name, pid in pids.items():
        try:
            for fd in os.listdir(f"/proc/{pid}/fd"):
                if os.readlink(f"/proc/{pid}/fd/{fd}") == link:
                    return name
        except OSError:
            # The process ended meanwhile, or closed the descriptor.
            continue
    return None


class Proxy:
    """Forwards connections to targets that are known by name, under the rules in force."""

    def __init__(self, pids):
        # Called for each connection: returns the ids of the processes by name.
        self.pids = pids
        self.selector = selectors.DefaultSelector()
        self.lock = threading.Lock()
        self.rules = []
        self.pairs = []
        self.running = True
        self.listeners = []
        # Addresses that refuse connections, with where they lead to.
        self.refusing = []
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        self.thread.start()

    def listen(self, name, target, host="127.0.0.1", port=0):
        """Opens an address that leads to a target; returns its port."""
        it = socket.create_server((host, port), backlog=128)
        it.setblocking(False)
        self.listeners.append(it)
        self.selector.register(it, selectors.EVENT_READ, (name, target))
        return it.getsockname()[1]

    def refuse(self, ports):
        """Resets the connections to these ports and refuses new ones until accept_again()."""
        with self.lock:
            for it in [it for it in self.listeners if it.getsockname()[1] in ports]:
                name, target = self.selector.unregister(it).data
                self.refusing.append((name, target, *it.getsockname()))
                self.listeners.remove(it)
                it.close()
                for pair in self.pairs:
                    if pair.address == target:
                        self.reset(pair)

    def accept_again(self, ports=None):
        """Ends refuse() for these ports, or for all."""
        with self.lock:
            ending = [it for it in self.refusing if ports is None or it[3] in ports]
            self.refusing = [it for it in self.refusing if it not in ending]
            for it in ending:
                self.listen(*it)

    def add(self, rule):
        with self.lock:
            self.rules.append(rule)
            for it in self.pairs:
                if rule.how == "reset" and rule.covers(it.source, it.target):
                    self.reset(it)
        return rule

    def remove(self, rule):
        with self.lock:
            self.rules.remove(rule)

    def stop(self):
        self.running = False
        self.thread.join(5)
        for it in list(self.pairs):
            self.reset(it)
        for it in self.listeners:
            it.close()
        self.selector.close()

    def rule_for(self, source, target, how):
        return next((it for it in self.rules if it.how == how and it.covers(source, target)), None)

    def run(self):
        while self.running:
            for key, _ in self.selector.select(TICK):
                if isinstance(key.data, tuple):
                    self.accept(key.fileobj, *key.data)
            now = time.monotonic()
            with self.lock:
                for it in list(self.pairs):
                    self.move(it, now)
                self.pairs = [it for it in self.pairs if not it.closed]

    def accept(self, listener, name, target):
        try:
            near, _ = listener.accept()
        except OSError:
            return
        source = owner_of(near, self.pids())
        with self.lock:
            if self.rule_for(source, name, "refuse") or self.rule_for(source, name, "reset"):
                abort(near)
                return
            far = socket.socket()
            far.settimeout(1)
            try:
                far.connect(target)
            except OSError:
                far.close()
                abort(near)
                return
            for it in (near, far):
                it.setblocking(False)
                it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                # Wakes the loop; which pair has bytes is found by reading.
                self.selector.register(it, selectors.EVENT_READ, "bytes")
            self.pairs.append(Pair(source, name, near, far, target))

    def move(self, pair, now):
        """Reads and writes what the rules let pass. Silence holds bytes back, as a network that sends them again later."""
        silent = self.rule_for(pair.source, pair.target, "silence")
        slow = self.rule_for(pair.source, pair.target, "delay")
        try:
            for it in pair.flows:
                self.read(it, now + (slow.delay if slow else 0))
                if silent and (silent.to_target if it.to_target else silent.to_source):
                    continue
                self.write(it, now)
            if all(it.ended and not it.held for it in pair.flows):
                self.close(pair)
        except (ConnectionError, TimeoutError, OSError):
            self.reset(pair)

    def read(self, flow, due):
        while not flow.ended and flow.size < MAX_HELD:
            try:
                data = flow.near.recv(CHUNK)
            except BlockingIOError:
                return
            if not data:
                flow.ended = True
                self.selector.unregister(flow.near)
            flow.held.append((due, data))
            flow.size += len(data)

    def write(self, flow, now):
        while flow.held and flow.held[0][0] <= now:
            due, data = flow.held[0]
            if not data:
                flow.held.popleft()
                flow.far.shutdown(socket.SHUT_WR)
                return
            try:
                sent = flow.far.send(data)
            except BlockingIOError:
                return
            flow.size -= sent
            flow.held.popleft()
            if sent < len(data):
                flow.held.appendleft((due, data[sent:]))
                return

    def reset(self, pair):
        self.close(pair, abort)

    def close(self, pair, how=socket.socket.close):
        if pair.closed:
            return
        pair.closed = True
        for it in pair.flows:
            if not it.ended:
                self.selector.unregister(it.near)
            how(it.near)


def abort(it):
    """Closes a connection so that its other end sees a reset."""
    try:
        it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    except OSError:
        pass
    it.close()
