"""The command channel of a run, which can fall silent, be down, or move."""

import json
import socket
import threading
import time

from ..platform_harness import listening_socket


class Discovery:
    """Numbered events over long polls; records when each was published and written to a poll."""

    def __init__(self, log):
        self.log = log
        self.events = []
        self.changed = threading.Condition()
        self.silent = False  # polls that come, or are open, get no answer and stay open
        self.connections = []
        self.listen()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def listen(self, port=0):
        self.sock = listening_socket(("127.0.0.1", port))
        self.sock.settimeout(None)
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._accept, args=(self.sock,), daemon=True).start()

    def publish(self, *entries):
        with self.changed:
            nodes = {"index": 1, "snapshot": not self.events, "endpoints": list(entries)}
            self.events.append({"cursor": len(self.events) + 1, "nodes": nodes})
            for entry in entries:
                self.log.write("publish", name=entry["name"], status=entry["status"], cursor=len(self.events))
            self.changed.notify_all()

    def known(self):
        with self.changed:
            return {"cursor": len(self.events), "cmds": list(self.events)}

    def down(self):
        """Refuses connections and ends those that are open."""
        self.close()
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.connections = []

    def up(self):
        self.listen(self.port)

    def move(self):
        """Serves at another port, and no more at the present one."""
        old, self.connections = self.connections, []
        self.sock.close()
        self.listen()
        for connection in old:
            connection.close()

    def close(self):
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()

    def _accept(self, sock):
        while True:
            try:
                connection = sock.accept()[0]
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            with connection.makefile("rwb") as file:
                while line := file.readline():
                    query = dict(
                        part.split("=") for part in line.split()[1].decode().partition("?")[2].split("&")
                    )
                    while file.readline() not in (b"\r\n", b""):
                        pass
                    self._answer(file, int(query["resume"]), int(query["block"]) / 1000)
        except (OSError, ValueError):
            pass
        connection.close()

    def _answer(self, file, after, block_s):
        with self.changed:
            self.changed.wait_for(lambda: len(self.events) > after, block_s)
            cursor = len(self.events)
            body = json.dumps({"cursor": cursor, "cmds": self.events[after:]}).encode()
        while self.silent:
            time.sleep(3600)
        file.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        file.flush()
        self.log.write("told", cursor=cursor)
