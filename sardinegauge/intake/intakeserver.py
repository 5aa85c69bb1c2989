"""HTTP server that takes requests and connections within an `intake.Intake`.

It serves any tornado application or delegate. A request that is refused never reaches
it; one that has to give way does so before its body is complete.
"""

import asyncio
import http
import json

from tornado import httpserver, httputil, iostream

from sardinegauge import addresses, outcome
from sardinegauge.intake import connections, intake

# Bytes read from a socket at once; a connection holds less than three times as many.
CHUNK_BYTES = 16 << 10
STREAM_BUFFER_BYTES = 4 * CHUNK_BYTES
# `intake` limits the size of bodies, since it can answer with a status.
MAX_SERVER_BODY_BYTES = 1 << 40
MAX_LENGTH_DIGITS = 12
# Beside its headers, a head has a request line.
REQUEST_LINE_BYTES = 8 << 10
# Bytes of a refused body that are read and dropped, and for how long. Closing at once
# would reset the connection, and the caller could lose the answer.
MAX_DISCARDED_BYTES = 1 << 20
DISCARD_TIMEOUT_S = 1.0
# Chunks of a body after which their size is judged again.
JUDGED_CHUNKS = 256
FORM_TYPES = ("application/x-www-form-urlencoded", "multipart/form-data")
CONNECTION_REFUSED = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Sardinegauge-Verdict: not-run\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class MeteredStream(iostream.IOStream):
    """Stream of one connection that reports what arrives to the intake."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.connection = None
        self.message = None
        self._server = None

    def attach(self, server, connection):
        """Set the server and the connection that bytes are counted for."""
        self._server = server
        self.connection = connection

    def read_from_fd(self, buf):
        """Read from the socket and count the bytes; see the base class."""
        size = super().read_from_fd(buf)
        if size and self.connection is not None:
            self.connection.add_received(size, self._server.intake.time_s())
        return size

    def read_until(self, delimiter, max_bytes=None):
        """Count the head of a chunk; the server reads nothing else by this method."""
        if self.connection is not None and self.message is not None:
            self.connection.chunk_count += 1
            if not self.connection.chunk_count % JUDGED_CHUNKS:
                self.message.judge_chunks()
        return super().read_until(delimiter, max_bytes)


class _Owner:
    """Closes the connection of a stream for a reason of the intake."""

    def __init__(self, stream):
        self.stream = stream

    def close(self, reason):
        message = self.stream.message
        if message is not None:
            message.end(reason)
        self.stream.close()


class _Connection(httputil.HTTPConnection):
    """The connection as the delegate sees it, which reports the end of the response."""

    def __init__(self, connection, on_finished):
        self._connection = connection
        self._on_finished = on_finished
        self.has_response = False

    def __getattr__(self, name):
        return getattr(self._connection, name)

    def write_headers(self, start_line, headers, chunk=None):
        self.has_response = True
        return self._connection.write_headers(start_line, headers, chunk)

    def write(self, chunk):
        return self._connection.write(chunk)

    def finish(self):
        try:
            self._connection.finish()
        finally:
            self._on_finished()

    def release(self):
        """Release what is reserved for the request of a caller who has left."""
        self._on_finished()


class _Message(httputil.HTTPMessageDelegate):
    """One request: admits it, and passes it to the delegate of the application."""

    def __init__(self, server, stream, connection, start_delegate):
        self._server = server
        self._intake = server.intake
        self._stream = stream
        self._connection = _Connection(connection, self._release)
        self._start_delegate = start_delegate
        self._delegate = None
        self._request = None
        self._is_refused = False
        self._is_complete = False
        self._is_ended = False
        self._is_head = False
        self._may_have_run = False
        self._discarded_bytes = 0

    def headers_received(self, start_line, headers):
        """Admit or refuse the request by its head."""
        self._is_head = start_line.method == "HEAD"
        self._may_have_run = self._server.may_have_run(start_line)
        max_held_bytes = self._server.max_held_bytes(start_line.path)
        admitted = self._intake.begin_request(
            self._stream.connection, declared_length(headers), max_held_bytes
        )
        if isinstance(admitted, intake.Refusal):
            self._refuse(admitted)
            if "Expect" in headers:
                self._end_discarding()
            return None
        self._request = admitted
        if not max_held_bytes:
            drop_form_type(headers)
        self._delegate = self._start_delegate(self._connection)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        """Count a part of the body, and pass it on."""
        if self._is_refused:
            self._discard(len(chunk))
            return None
        refusal = self._intake.add_body(self._request, len(chunk))
        if refusal is not None:
            self._abandon_delegate()
            self._refuse(refusal)
            return None
        return self._delegate.data_received(chunk)

    def finish(self):
        """Pass on that the request is complete."""
        if self._is_refused:
            self._end_discarding()
            return
        self._is_complete = True
        self._intake.end_body(self._request)
        self._delegate.finish()

    def on_connection_close(self):
        """Release what was reserved if the body was not complete."""
        self._abandon_delegate()

    def judge_chunks(self):
        """End the request if its body comes in too many small chunks."""
        if self._is_refused:
            self._end_discarding()
            return
        refusal = self._intake.add_chunks(self._stream.connection)
        if refusal is not None:
            self._abandon_delegate()
            self._refuse(refusal)
            self._end_discarding()

    def end(self, reason):
        """Answer a request that has to give way, if it certainly did not run."""
        if self._is_refused or self._is_complete or self._request is None:
            return
        self._abandon_delegate()
        status = 408 if reason == connections.IDLE_TIMEOUT else 503
        self._refuse(
            intake.Refusal(
                status=status,
                reason=reason,
                text="the body did not arrive in time",
                retry_after_s=intake.RETRY_AFTER_S if status == 503 else 0,
            )
        )

    def close(self):
        """Note that the connection is closed, and release what nobody needs any more.

        The application may still work on a complete request that it holds in full.
        """
        if not self._is_complete:
            self._release()

    def _release(self):
        if self._request is not None:
            self._intake.end_request(self._request)

    def _abandon_delegate(self):
        delegate, self._delegate = self._delegate, None
        if delegate is not None:
            self._release()
            delegate.on_connection_close()

    def _refuse(self, refusal):
        self._is_refused = True
        is_passed_on = self._request is not None and self._request.is_passed_on
        if self._connection.has_response or is_passed_on:
            # Nothing can be said of a request that may have run.
            self._stream.close()
            return
        status, verdict = refusal.status, outcome.Verdict.NOT_RUN.value
        if self._may_have_run:
            verdict = outcome.Verdict.MAY_HAVE_RUN.value
            # A 503 would promise that no copy runs; the other statuses are final.
            status = 504 if status == 503 else status
        body = json.dumps({"error": refusal.text, "verdict": verdict}).encode()
        fields = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                "Sardinegauge-Verdict": verdict,
            }
        )
        if refusal.retry_after_s and status == refusal.status:
            fields["Retry-After"] = str(refusal.retry_after_s)
        phrase = http.HTTPStatus(status).phrase
        line = httputil.ResponseStartLine("HTTP/1.1", status, phrase)
        self._connection.write_headers(line, fields, None if self._is_head else body)
        asyncio.get_running_loop().call_later(DISCARD_TIMEOUT_S, self._end_discarding)

    def _discard(self, size):
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._end_discarding()

    def _end_discarding(self):
        """End the refused request; without its whole body, the connection closes."""
        if not self._is_ended and not self._stream.closed():
            self._is_ended = True
            self._connection.finish()


class IntakeServer(httpserver.HTTPServer):
    """An HTTP server within an intake; see `serve`."""

    def initialize(self, delegate, taken_by, max_held_bytes, may_have_run, **options):
        """Set the delegate, the intake and the options of the base class."""
        super().initialize(
            delegate,
            chunk_size=CHUNK_BYTES,
            max_body_size=MAX_SERVER_BODY_BYTES,
            max_buffer_size=STREAM_BUFFER_BYTES,
            **options,
        )
        self.intake = taken_by
        self.max_held_bytes = max_held_bytes
        self.may_have_run = may_have_run

    def handle_stream(self, stream, address):
        """Serve a new connection if there is room for it."""
        metered = MeteredStream(
            stream.socket,
            max_buffer_size=self.max_buffer_size,
            read_chunk_size=CHUNK_BYTES,
        )
        connection = self.intake.open_connection(_Owner(metered))
        if connection is None:
            metered.write(CONNECTION_REFUSED)
            metered.close()
            return
        metered.attach(self, connection)
        super().handle_stream(metered, address)

    @property
    def connection_count(self):
        """Number of connections in the intake."""
        return len(self.intake.table)

    def start_request(self, server_conn, request_conn):
        """Return the delegate of one request, which the intake admits first."""
        stream = server_conn.stream
        self.conn_params.max_header_size = (
            self.intake.limits.max_header_bytes + REQUEST_LINE_BYTES
        )
        self.intake.wait_for_request(stream.connection)
        start_delegate = super().start_request
        stream.message = _Message(
            self,
            stream,
            request_conn,
            lambda connection: start_delegate(server_conn, connection),
        )
        return stream.message

    def on_close(self, server_conn):
        """Forget a closed connection."""
        stream = server_conn.stream
        if stream.message is not None:
            stream.message.close()
        self.intake.close_connection(stream.connection)
        super().on_close(server_conn)


def drop_form_type(headers):
    """Remove the content type of a form.

    tornado would build a table of a form's fields, many times as large as its body, and
    no handler takes forms.

    Examples
    --------
    >>> headers = httputil.HTTPHeaders({"Content-Type": "multipart/form-data"})
    >>> drop_form_type(headers)
    >>> len(headers)
    0
    """
    if headers.get("Content-Type", "").startswith(FORM_TYPES):
        del headers["Content-Type"]


def declared_length(headers):
    """Return the declared length of a body, 0 if there is none.

    The HTTP server refuses a malformed or ambiguous length.

    Examples
    --------
    >>> declared_length({"Content-Length": "17"}), declared_length({})
    (17, 0)
    """
    value = headers.get("Content-Length", "")
    if not (value.isascii() and value.isdigit()):
        return 0
    # Python refuses to convert thousands of digits.
    return int(value) if len(value) <= MAX_LENGTH_DIGITS else MAX_SERVER_BODY_BYTES


def hold_all(path):
    """Return 0: a delegate holds the whole body of a request to any path."""
    return 0


def is_new(start_line):
    """Return False: an earlier copy of no request may have run."""
    return False


def serve(
    delegate,
    address,
    taken_by,
    max_held_bytes=hold_all,
    may_have_run=is_new,
    **options,
):
    """Serve HTTP on an ``ip:port`` address within an intake; return the server.

    Parameters
    ----------
    delegate : tornado.httputil.HTTPServerConnectionDelegate
        A tornado application, or another delegate.
    address : str
        Address to listen on; port 0 selects a free port.
    taken_by : intake.Intake
    max_held_bytes : callable, optional
        Returns, for a path, the most bytes of a body that the delegate holds at a time;
        0 if it holds the whole body, which is the default for all paths.
    may_have_run : callable, optional
        Tells, for a request's first line, whether an earlier copy of the request may
        have run. Such a copy is answered with 504 in place of a refusal, which would
        claim that it never runs.
    **options
        Further options of tornado's HTTP server.
    """
    server = IntakeServer(delegate, taken_by, max_held_bytes, may_have_run, **options)
    host, port = addresses.split(address)
    server.listen(port, host)
    return server
