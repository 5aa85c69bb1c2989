"""Ports for local fleets that no other fleet and no outgoing connection takes."""

import random
import socket

# Below the range from which the kernel picks ports for outgoing connections.
_FIRST_PORT = 20_000
_LAST_PORT = 31_999


class PortPool:
    """Hands out free ports and keeps other fleets off them until `close`.

    The reservation is an abstract Unix socket per port: a port must be free again
    before its process binds it, so it cannot be held by a bound TCP socket.
    """

    def __init__(self):
        self._held_by_port = {}
        self._random = random.Random()

    def reserve(self):
        """Return a port of 127.0.0.1 that is free and reserved."""
        for _ in range(10_000):
            port = self._random.randint(_FIRST_PORT, _LAST_PORT)
            holder = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            try:
                holder.bind(f"\0sardinegauge-test-port-{port}")
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            except OSError:
                holder.close()
                continue
            self._held_by_port[port] = holder
            return port
        raise RuntimeError("no free port")

    def address(self):
        """Return ``127.0.0.1:port`` with a port from `reserve`."""
        return f"127.0.0.1:{self.reserve()}"

    def close(self):
        """Release every reservation."""
        for holder in self._held_by_port.values():
            holder.close()
        self._held_by_port.clear()
