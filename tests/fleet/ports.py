"""Ports for local fleets, apart from those of other fleets and outgoing connections."""

import random
import socket

# Below the range from which the kernel picks ports for outgoing connections.
_FIRST_PORT = 20_000
_LAST_PORT = 31_999


class PortPool:
    """Allocates free ports and reserves them against other fleets until `close`.

    A reservation is an abstract Unix socket named after the port. A bound TCP socket
    cannot reserve the port, since the port must be free when its process binds it.
    """

    def __init__(self):
        self._lock_by_port = {}
        self._random = random.Random()

    def take(self):
        """Reserve a free port of 127.0.0.1 and return it.

        Raises RuntimeError when no free port is found in 10,000 attempts.
        """
        for _ in range(10_000):
            port = self._random.randint(_FIRST_PORT, _LAST_PORT)
            lock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            try:
                lock.bind(f"\0sardinegauge-test-port-{port}")
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            except OSError:
                lock.close()
                continue
            self._lock_by_port[port] = lock
            return port
        raise RuntimeError("no free port found in 10,000 attempts")

    def address(self):
        """Return ``127.0.0.1:port`` with a port from `take`."""
        return f"127.0.0.1:{self.take()}"

    def close(self):
        """Release all reservations."""
        for lock in self._lock_by_port.values():
            lock.close()
        self._lock_by_port.clear()
