"""The way to a server: passes bytes on both ways, and can be cut, so that connections are refused and open ones are reset."""

import socket
import struct
import threading


class Path:
    def __init__(self, bed, address, server):
        self.bed, self.address, self.server = bed, address, server
        self.target = server.address
        # The platform lists the address at which the server is reached.
        server.address = address
        self.open = set()
        self.listener = None
        bed.at_end(self.cut)
        self.listen()

    def listen(self):
        self.listener = socket.create_server(self.address, backlog=128)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self.target, timeout=5)
                far.settimeout(None)
            except OSError:
                near.close()
                continue
            self.open.update((near, far))
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.carry, args=(source, sink), daemon=True).start()

    def carry(self, source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        finally:
            self.open.discard(source)

    def cut(self):
        if not self.listener:
            return
        self.bed.record("path", f"to {self.server.name} is cut")
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.listener = None
        for it in list(self.open):
            try:
                it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                it.shutdown(socket.SHUT_RDWR)
                it.close()
            except OSError:
                pass

    def heal(self):
        if not self.listener:
            self.bed.record("path", f"to {self.server.name} has healed")
            self.listen()
