"""HTTP side of one caller's request: checks the head, takes the body, answers."""

import http
import json
import math
import re
import socket
import struct

from tornado import httputil

from sardinegauge import messages, outcome, requestbody

# Within the limit of the HTTP server, which closes the connection without an answer.
MAX_HEADER_BYTES = 16 * 1024
MAX_PATH_BYTES = 8 * 1024
MAX_BUFFERED_BODY_BYTES = 256 * 1024
MAX_BODY_BYTES = 1 << 30
MAX_DEADLINE_MS = 600_000
DEFAULT_DEADLINE_MS = 10_000
DEFAULT_TENANT = "default"
# Bytes of an unwanted body that are taken after an early answer. Closing at once would
# reset the connection and could destroy the answer on its way.
MAX_DISCARDED_BYTES = 1 << 20
DISCARD_LIMIT_S = 1.0

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
_METHODS = _IDEMPOTENT_METHODS | {"POST", "PATCH"}
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_PRINTABLE = re.compile(r"[\x21-\x7e]{1,255}")
_FLAGS = {"true": True, "1": True, "false": False, "0": False}


class BadRequestError(Exception):
    """The head of a request is malformed or over a limit."""

    def __init__(self, status, reason):
        self.status = status
        super().__init__(reason)


class Head:
    """The checked head of a request.

    `headers` holds the end-to-end headers as `messages.Header` records.
    """

    __slots__ = (
        "content_length",
        "deadline_ms",
        "has_body",
        "headers",
        "is_idempotent",
        "key",
        "method",
        "path",
        "request_id",
        "service",
        "tenant",
    )


def parse_head(start_line, headers):
    """Check the head of a request.

    Parameters
    ----------
    start_line : tornado.httputil.RequestStartLine
        Method, path and version.
    headers : tornado.httputil.HTTPHeaders
        All headers.

    Returns
    -------
    Head

    Raises
    ------
    BadRequestError
        With the status and what is wrong.
    """
    head = Head()
    head.method = start_line.method
    head.path = start_line.path
    if len(head.path) > MAX_PATH_BYTES:
        raise BadRequestError(414, f"the path is over {MAX_PATH_BYTES} bytes")
    pairs = list(headers.get_all())
    if sum(len(name) + len(value) + 4 for name, value in pairs) > MAX_HEADER_BYTES:
        raise BadRequestError(431, f"the headers are over {MAX_HEADER_BYTES} bytes")
    if head.method not in _METHODS:
        raise BadRequestError(405, "the method is not supported")
    head.service = _service_of(head.path)
    head.tenant = _text(headers, "Sardinegauge-Tenant", _NAME, DEFAULT_TENANT)
    head.request_id = _text(headers, "Sardinegauge-Request-Id", _PRINTABLE, "")
    head.deadline_ms = _deadline(headers)
    head.is_idempotent = _is_idempotent(head.method, headers)
    head.key = _text(headers, "Idempotency-Key", _PRINTABLE, "")
    head.content_length = _content_length(headers)
    head.has_body = head.content_length > 0 or "Transfer-Encoding" in headers
    named = _connection_options(headers)
    head.headers = [
        messages.Header(name=name, value=value)
        for name, value in pairs
        if name.lower() not in _HOP_BY_HOP and name.lower() not in named
    ]
    return head


def _service_of(path):
    """Return the first segment of the path.

    Examples
    --------
    >>> _service_of("/quotes/hides?size=3")
    'quotes'
    """
    if not path.startswith("/"):
        raise BadRequestError(400, "the path must begin with /")
    service = re.split("[/?]", path[1:], maxsplit=1)[0]
    if not _NAME.fullmatch(service):
        raise BadRequestError(404, "the first segment of the path names no service")
    return service


def _text(headers, name, pattern, default):
    value = headers.get(name)
    if value is None:
        return default
    if not pattern.fullmatch(value):
        raise BadRequestError(400, f"the header {name} is malformed")
    return value


def _deadline(headers):
    value = headers.get("Sardinegauge-Deadline-Ms")
    if value is None:
        return DEFAULT_DEADLINE_MS
    if not re.fullmatch("[0-9]{1,6}", value) or not 1 <= int(value) <= MAX_DEADLINE_MS:
        raise BadRequestError(
            400, f"Sardinegauge-Deadline-Ms must be 1 to {MAX_DEADLINE_MS}"
        )
    return int(value)


def _is_idempotent(method, headers):
    value = headers.get("Sardinegauge-Idempotent")
    if value is None:
        return method in _IDEMPOTENT_METHODS
    if value.lower() not in _FLAGS:
        raise BadRequestError(400, "Sardinegauge-Idempotent must be true or false")
    return _FLAGS[value.lower()]


def _content_length(headers):
    """Return the declared length in bytes, -1 where there is none."""
    value = headers.get("Content-Length")
    if value is None:
        return -1
    if not re.fullmatch("[0-9]{1,15}", value):
        raise BadRequestError(400, "the header Content-Length is malformed")
    if int(value) > MAX_BODY_BYTES:
        raise BadRequestError(413, f"the body is over {MAX_BODY_BYTES} bytes")
    return int(value)


def _connection_options(headers):
    """Return the names of headers that the Connection header makes hop-by-hop."""
    value = headers.get("Connection")
    if value is None:
        return frozenset()
    return frozenset(option.strip().lower() for option in value.split(","))


class Caller(httputil.HTTPMessageDelegate):
    """One request of a caller and its response.

    Parameters
    ----------
    front : object
        Offers ``request_arrived(caller)``, ``body_ready(caller)``,
        ``caller_gone(caller, is_body_cut)``, ``bad_request(caller, error)`` and
        ``is_draining``.
    connection : tornado.http1connection.HTTP1Connection
        The caller's connection.
    """

    def __init__(self, front, connection):
        self.front = front
        self.connection = connection
        self.body = requestbody.Body(MAX_BUFFERED_BODY_BYTES, self._body_ready)
        self.head = None
        self.is_gone = False
        self.is_answered = False
        self.last_byte_s = 0.0
        self.number = 0
        self.request_id = ""
        self.response_head = None
        self.started_s = 0.0
        self.timer = None
        self._discarded = 0
        self._is_body_dropped = False
        self._status = 0

    # HTTPMessageDelegate

    def headers_received(self, start_line, headers):
        """Check the head and hand the request to the front."""
        self.connection.set_close_callback(self._closed)
        try:
            self.head = parse_head(start_line, headers)
        except BadRequestError as error:
            self.front.bad_request(self, error)
            return
        self.front.request_arrived(self)

    def data_received(self, chunk):
        """Take a piece of the body; return a future while the buffer is full."""
        if self.is_answered:
            self._discard(len(chunk))
            return None
        if self.body.total + len(chunk) > MAX_BODY_BYTES:
            reason = f"the body is over {MAX_BODY_BYTES} bytes"
            self.front.caller_gone(self, is_body_cut=True)
            self.answer(413, outcome.Verdict.NOT_RUN, reason)
            return None
        self.last_byte_s = self.front.time_s()
        return self.body.add(chunk)

    def finish(self):
        """Take note that the body is whole."""
        if self._is_body_dropped:
            self.connection.finish()
        else:
            self.body.end()

    def on_connection_close(self):
        """Take note that the caller left before its body ended."""
        self._closed()

    def _closed(self):
        if self.is_gone:
            return
        self.is_gone = True
        is_body_cut = not self.body.is_ended
        if is_body_cut:
            self.body.break_off()
        self.front.caller_gone(self, is_body_cut)

    def _body_ready(self):
        if not self.is_answered:
            self.front.body_ready(self)

    # Response

    def start_response(self, status, headers):
        """Send the head of an upstream's response."""
        if self.is_gone:
            return
        fields = httputil.HTTPHeaders()
        for header in headers:
            if header.name.lower() not in _HOP_BY_HOP:
                fields.add(header.name, header.value)
        self._add_common(fields, outcome.Verdict.RAN)
        self._write_head(status, fields)

    def write(self, data):
        """Send a piece of the response's body.

        Returns
        -------
        asyncio.Future or None
            To wait for while the connection takes no more.
        """
        if self.is_gone or not data:
            return None
        if self.head.method == "HEAD" or self._status in (204, 304):
            return None
        pending = self.connection.write(data)
        return pending if self.connection.stream.writing() else None

    def finish_response(self):
        """End a whole response."""
        self.is_answered = True
        self.body.break_off()
        if not self.is_gone:
            try:
                self.connection.finish()
            except httputil.HTTPOutputError:
                self.cut()

    def cut(self):
        """Close the connection so that the caller sees an unfinished response.

        The reset matters for a response that ends with its connection: there, an
        orderly close would look like the end.
        """
        self.is_answered = True
        self.body.break_off()
        stream = self.connection.stream
        if stream is not None and not stream.closed():
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.close()

    def answer(self, status, verdict, reason, retry_after_ms=0):
        """Answer in place of an upstream, with a JSON body."""
        text = json.dumps({"error": reason, "verdict": verdict.value}) + "\n"
        fields = httputil.HTTPHeaders({"Content-Type": "application/json"})
        if retry_after_ms:
            fields["Retry-After"] = str(math.ceil(retry_after_ms / 1000))
        if status == 405:
            fields["Allow"] = ", ".join(sorted(_METHODS))
        self._add_common(fields, verdict)
        self._answer_whole(status, fields, text.encode())

    def replay(self, response):
        """Answer with a stored response, a `messages.KeyReply`."""
        fields = httputil.HTTPHeaders()
        for header in response.headers:
            if header.name.lower() not in _HOP_BY_HOP | {"content-length"}:
                fields.add(header.name, header.value)
        self._add_common(fields, outcome.Verdict.RAN)
        self._answer_whole(response.status, fields, response.body)

    def _answer_whole(self, status, fields, data):
        self.is_answered = True
        self.body.break_off()
        if self.is_gone:
            return
        has_body = status not in (204, 304)
        if has_body:
            fields["Content-Length"] = str(len(data))
        is_head = self.head is not None and self.head.method == "HEAD"
        self._write_head(status, fields, data if has_body and not is_head else None)
        if self.body.is_ended or not self._awaits_body():
            self.connection.finish()
            return
        self._is_body_dropped = True
        self.front.call_later(DISCARD_LIMIT_S, self._end_discarding)

    def _awaits_body(self):
        return self.head is not None and self.head.has_body

    def _discard(self, size):
        self._discarded += size
        if self._discarded > MAX_DISCARDED_BYTES:
            self._end_discarding()

    def _end_discarding(self):
        if self._is_body_dropped and not self.is_gone:
            self._is_body_dropped = False
            self.connection.finish()

    def _add_common(self, fields, verdict):
        fields["Sardinegauge-Verdict"] = verdict.value
        if self.request_id:
            fields["Sardinegauge-Request-Id"] = self.request_id
        if self.front.is_draining:
            fields["Connection"] = "close"

    def _write_head(self, status, fields, data=None):
        self._status = status
        try:
            phrase = http.HTTPStatus(status).phrase
        except ValueError:
            phrase = "Unknown"
        line = httputil.ResponseStartLine("HTTP/1.1", status, phrase)
        self.connection.write_headers(line, fields, data)
