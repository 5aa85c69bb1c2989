"""HTTP/1.1 calls over tornado's connection class, with a known point of first write.

`tornado.simple_httpclient` does not tell whether a failed request was written. The
verdict of a request depends on that, so connecting and writing are separate steps here.
"""

import abc
import asyncio
import json

from tornado import http1connection, httputil, iostream

from sardinegauge import link

CONNECT_TIMEOUT_S = 1.0
CHUNK_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 1 << 40
MAX_JSON_BYTES = 4 << 20
# They describe one connection and must not be passed on (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
_PARAMETERS = http1connection.HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES, max_body_size=MAX_RESPONSE_BYTES
)


class ConnectError(Exception):
    """No connection could be made, so nothing was written."""


class TruncatedError(Exception):
    """The connection ended before the response did."""


async def connect(address):
    """Return a new stream to ``ip:port``.

    Raises
    ------
    ConnectError
        If the peer refuses or does not answer within `CONNECT_TIMEOUT_S`.
    """
    try:
        stream = await link.connect(address, CONNECT_TIMEOUT_S)
    except (TimeoutError, OSError, iostream.StreamClosedError) as error:
        raise ConnectError(f"{address}: {error or 'no answer'}") from error
    stream.set_nodelay(True)
    return stream


class Receiver(abc.ABC):
    """Takes the parts of one response; coroutines slow the sender down."""

    @abc.abstractmethod
    async def on_head(self, status, headers):
        """Take the status and a list of (name, value) pairs."""

    @abc.abstractmethod
    async def on_chunk(self, data):
        """Take at most `CHUNK_BYTES` bytes of the body."""


class _Delegate(httputil.HTTPMessageDelegate):
    def __init__(self, receiver):
        self.receiver = receiver
        self.is_complete = False

    async def headers_received(self, start_line, headers):
        if not 100 <= start_line.code < 200:
            pairs = [pair for pair in headers.get_all() if not _is_hop(pair)]
            await self.receiver.on_head(start_line.code, pairs)

    async def data_received(self, chunk):
        await self.receiver.on_chunk(chunk)

    def finish(self):
        self.is_complete = True


def _is_hop(pair):
    return pair[0].lower() in HOP_HEADERS


async def exchange(stream, host, method, path, headers, body, receiver):
    """Send one request over a new stream and pass the response to the receiver.

    Parameters
    ----------
    stream : tornado.iostream.IOStream
        From `connect`; closed afterwards.
    host : str
        Value of the `Host` header where `headers` has none.
    headers : list of (str, str)
        Hop-by-hop headers are left out.
    body : asynchronous iterator of bytes, or None
        The request's body; an exception from it ends the exchange.
    receiver : Receiver
        Takes the response.

    Raises
    ------
    TruncatedError
        If the response did not end properly.
    """
    connection = http1connection.HTTP1Connection(stream, True, _PARAMETERS)
    fields = httputil.HTTPHeaders()
    for pair in headers:
        if not _is_hop(pair):
            fields.add(*pair)
    fields["Connection"] = "close"
    fields.setdefault("Host", host)
    if body is None and method in ("POST", "PUT", "PATCH"):
        fields["Content-Length"] = "0"
    delegate = _Delegate(receiver)
    writer = None
    try:
        connection.write_headers(
            httputil.RequestStartLine(method, path, "HTTP/1.1"), fields
        )
        if body is None:
            connection.finish()
        else:
            writer = asyncio.ensure_future(_write_body(connection, body))
        await connection.read_response(delegate)
        if writer is not None and writer.done():
            writer.result()
    except (iostream.StreamClosedError, httputil.HTTPOutputError) as error:
        raise TruncatedError(str(error)) from error
    finally:
        if writer is not None and not writer.done():
            writer.cancel()
        stream.close()
    # A body without a length ends with the connection; a reset still shows as error.
    if not delegate.is_complete or stream.error is not None:
        raise TruncatedError("the response was cut")


async def _write_body(connection, body):
    try:
        async for chunk in body:
            await connection.write(chunk)
        connection.finish()
    except Exception:
        # Without its whole body the request has no valid end and cannot be answered.
        connection.close()
        raise


class _Collector(Receiver):
    def __init__(self):
        self.status = 0
        self.data = bytearray()

    async def on_head(self, status, headers):
        self.status = status

    async def on_chunk(self, data):
        self.data += data
        if len(self.data) > MAX_JSON_BYTES:
            raise TruncatedError("the response is too large")


async def call_json(address, method, path, make_body, timeout_s):
    """Make one call with JSON bodies; return the status and the decoded response.

    `make_body` is called after connecting, so that times in it are as fresh as
    possible. It returns a dict, or None to give up; then the status is 0.

    Raises
    ------
    ConnectError, TruncatedError, TimeoutError, ValueError
        If there is no whole JSON response in time.
    """
    async with asyncio.timeout(timeout_s):
        stream = await connect(address)
        collector = _Collector()
        headers = []
        body = None
        try:
            if make_body is not None:
                fields = make_body()
                if fields is None:
                    return 0, {}
                data = json.dumps(fields, separators=(",", ":")).encode()
                headers.append(("Content-Type", "application/json"))
                headers.append(("Content-Length", str(len(data))))
                body = _once(data)
            await exchange(stream, address, method, path, headers, body, collector)
        finally:
            stream.close()
        return collector.status, json.loads(bytes(collector.data) or b"{}")


async def _once(data):
    yield data
