"""A proxy on loopback that passes TCP connections on and can reset one under a message."""

import contextlib
import socket
import struct
import threading

from platform_standins import listening_socket


class ResetProxy:
    """Passes connections on to `address`.

    While `reset_at` is set, the first data to the caller that contains it is not passed on: the connection
    is reset on both sides instead, once.
    """

    def __init__(self, record, address):
        self.record, self.address, self.reset_at, self.resets = record, address, None, 0
        self.sock = listening_socket()
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near = self.sock.accept()[0]
            except OSError:
                return
            far = socket.create_connection(self.address)
            for source, sink, to_caller in ((near, far, False), (far, near, True)):
                threading.Thread(target=self._pass, args=(source, sink, to_caller), daemon=True).start()

    def _pass(self, source, sink, to_caller):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if to_caller and self.reset_at is not None and self.reset_at in data:
                    self.reset_at = None
                    self.resets += 1
                    self.record("trouble", "the caller's connection is reset under " + repr(data[:60]))
                    for sock in (source, sink):
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        sock.shutdown(socket.SHUT_RD)
                        sock.close()
                    return
                sink.sendall(data)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)

    def close(self):
        self.sock.close()
