"""Links to the other replicas of the group."""

from sardinegauge import errors
from sardinegauge.links import dialers


class ReplicaLinks:
    """Dials the addresses of other replicas, and sends messages to members.

    Members are reached over any open link, whichever side has dialled it.

    Parameters
    ----------
    handler : link.Handler
        Receives what other replicas send.
    """

    def __init__(self, handler):
        self.open_links = set()
        self._handler = handler
        self._dialers_by_address = {}

    def add(self, opened):
        """Record an open link if its peer is a replica."""
        if opened.peer.role == "state":
            self.open_links.add(opened)

    def discard(self, closed):
        """Remove a closed link."""
        self.open_links.discard(closed)

    def dial(self, addresses, hello):
        """Start and stop dialers, so that there is one for each of these addresses."""
        for address in addresses - self._dialers_by_address.keys():
            dialer = dialers.Dialer(address, self._handler, hello)
            self._dialers_by_address[address] = dialer
            dialer.start()
        for address in self._dialers_by_address.keys() - addresses:
            self._dialers_by_address.pop(address).stop()

    def send(self, identity, message):
        """Send a message to a member, or drop it if no link is open."""
        for candidate in self.open_links:
            if candidate.peer.identity == identity and candidate.is_open:
                try:
                    candidate.send(message)
                except errors.LinkClosedError:
                    continue
                return

    def stop(self):
        """Stop all dialers and close their links."""
        for dialer in self._dialers_by_address.values():
            dialer.stop()
        self._dialers_by_address.clear()
