"""Links of an entry to the agents of all upstreams."""

import asyncio

from tornado import iostream

from sardinegauge import errors
from sardinegauge.links import dialers, link


class _AgentHandler(link.Handler):
    """Reports to `AgentLinks` when the link of one dialer opens or closes."""

    def __init__(self, links, name):
        self.links = links
        self.name = name

    def on_open(self, link):
        self.links.link_opened(self, link)

    def on_close(self, link):
        self.links.link_closed(self)

    def on_message(self, link, message):
        pass

    def on_exchange(self, exchange, message):
        exchange.close()


class _Peer:
    """One dialer with its handler and the lock that serializes its body chunks."""

    __slots__ = ("chunk_lock", "dialer", "handler")

    def __init__(self, dialer, handler):
        self.dialer = dialer
        self.handler = handler
        self.chunk_lock = asyncio.Lock()


class AgentLinks:
    """Maintains the links to the agents that the reducer names.

    Parameters
    ----------
    hello : messages.Hello
        Sent on each link.
    on_open, on_close : callable
        Called with the upstream's name when its link opens or closes; `on_open` also
        receives the agent's incarnation.
    """

    def __init__(self, hello, on_open, on_close):
        self.hello = hello
        self._on_open = on_open
        self._on_close = on_close
        self._peers = {}
        self._draining = []

    def dial(self, name, address):
        """Maintain a link to an agent, in place of one to its former address."""
        self.disconnect(name)
        handler = _AgentHandler(self, name)
        dialer = dialers.Dialer(address, handler, self.hello)
        self._peers[name] = _Peer(dialer, handler)
        dialer.start()

    def disconnect(self, name):
        """Close the link to an agent once its open exchanges have ended."""
        peer = self._peers.pop(name, None)
        if peer is not None:
            self._draining.append(peer)
            self._on_close(name)
            self.close_drained()

    def close_drained(self):
        """Close the links of disconnected agents that have no open exchange."""
        for peer in list(self._draining):
            if not peer.dialer.is_open or not peer.dialer.link.exchange_count:
                peer.dialer.stop()
                self._draining.remove(peer)

    def link_opened(self, handler, opened_link):
        """Report an open link, unless its agent was disconnected or redialed since."""
        if self._is_current(handler):
            self._on_open(handler.name, opened_link.peer.identity)

    def link_closed(self, handler):
        """Report a closed link, unless its agent was disconnected or redialed since."""
        if self._is_current(handler):
            self._on_close(handler.name)
        else:
            self.close_drained()

    def _is_current(self, handler):
        peer = self._peers.get(handler.name)
        return peer is not None and peer.handler is handler

    def open_exchange(self, name, incarnation, message):
        """Open an exchange with an incarnation of an agent.

        Returns
        -------
        tuple of (exchanges.Exchange, asyncio.Lock)
            The exchange, and the lock to hold while a body chunk is sent. Without the
            lock, the bodies of many requests could overrun the send buffer of a link.

        Raises
        ------
        LinkClosedError
            If there is no such link. The message was not sent.
        """
        peer = self._peers.get(name)
        if peer is None or not peer.dialer.is_open:
            raise errors.LinkClosedError(f"no open link to {name}")
        if peer.dialer.link.peer.identity != incarnation:
            raise errors.LinkClosedError(f"the link to {name} has another incarnation")
        return peer.dialer.link.open_exchange(message), peer.chunk_lock

    def stop(self):
        """Close all links."""
        for peer in (*self._peers.values(), *self._draining):
            peer.dialer.stop()


async def send_chunk(exchange, lock, message):
    """Send a message and wait until the socket has accepted it.

    Raises
    ------
    LinkClosedError
        If the link closes first.
    """
    try:
        async with lock:
            await exchange.send(message)
    except iostream.StreamClosedError as error:
        raise errors.LinkClosedError(str(error)) from error
