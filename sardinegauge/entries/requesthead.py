"""Validation of the heads of callers' requests and upstreams' responses."""

import re

from tornado import httputil

from sardinegauge.links import httpmessages

# Below the limit of the HTTP server, which closes the connection without an answer.
MAX_HEADER_BYTES = 16 * 1024
MAX_PATH_BYTES = 8 * 1024
MAX_BODY_BYTES = 1 << 30
MAX_DEADLINE_MS = 600_000
DEFAULT_DEADLINE_MS = 10_000
DEFAULT_TENANT = "default"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
METHODS = IDEMPOTENT_METHODS | {"POST", "PATCH"}
HOP_BY_HOP = frozenset(
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
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9a-z-]+")
# Control characters would end a header early; characters beyond Latin-1 cannot be sent.
_INVALID_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]|[^\x00-\xff]")
_BOOLEAN_BY_TEXT = {"true": True, "1": True, "false": False, "0": False}


class BadRequestError(Exception):
    """The head of a request is malformed or over a limit."""

    def __init__(self, status, reason):
        self.status = status
        super().__init__(reason)


class Head:
    """The checked head of a request.

    `headers` holds the end-to-end headers as `httpmessages.Header` records.
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
        With the HTTP status and the reason.
    """
    head = Head()
    head.method = start_line.method
    head.path = start_line.path
    if len(head.path) > MAX_PATH_BYTES:
        raise BadRequestError(414, f"the path is over {MAX_PATH_BYTES} bytes")
    pairs = list(headers.get_all())
    if sum(len(name) + len(value) + 4 for name, value in pairs) > MAX_HEADER_BYTES:
        raise BadRequestError(431, f"the headers are over {MAX_HEADER_BYTES} bytes")
    if head.method not in METHODS:
        raise BadRequestError(405, "the method is not supported")
    head.service = _service_name(head.path)
    head.tenant = _header_text(headers, "Sardinegauge-Tenant", _NAME, DEFAULT_TENANT)
    head.request_id = _header_text(headers, "Sardinegauge-Request-Id", _PRINTABLE, "")
    head.deadline_ms = _deadline_ms(headers)
    head.is_idempotent = _is_idempotent(head.method, headers)
    head.key = _header_text(headers, "Idempotency-Key", _PRINTABLE, "")
    head.content_length = _content_length(headers)
    head.has_body = head.content_length > 0 or "Transfer-Encoding" in headers
    hop_by_hop_names = _connection_options(headers)
    head.headers = [
        httpmessages.Header(name=name, value=value)
        for name, value in pairs
        if name.lower() not in HOP_BY_HOP and name.lower() not in hop_by_hop_names
    ]
    return head


def _service_name(path):
    """Return the first segment of the path.

    Examples
    --------
    >>> _service_name("/quotes/hides?size=3")
    'quotes'
    """
    if not path.startswith("/"):
        raise BadRequestError(400, "the path must begin with /")
    service = re.split("[/?]", path[1:], maxsplit=1)[0]
    if not _NAME.fullmatch(service):
        raise BadRequestError(
            404, "the first segment of the path is not a service name"
        )
    return service


def _header_text(headers, name, pattern, default):
    value = headers.get(name)
    if value is None:
        return default
    if not pattern.fullmatch(value):
        raise BadRequestError(400, f"the header {name} is malformed")
    return value


def _deadline_ms(headers):
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
        return method in IDEMPOTENT_METHODS
    if value.lower() not in _BOOLEAN_BY_TEXT:
        raise BadRequestError(400, "Sardinegauge-Idempotent must be true or false")
    return _BOOLEAN_BY_TEXT[value.lower()]


def _content_length(headers):
    """Return the declared length in bytes, or -1 without one."""
    value = headers.get("Content-Length")
    if value is None:
        return -1
    if not re.fullmatch("[0-9]{1,15}", value):
        raise BadRequestError(400, "the header Content-Length is malformed")
    if int(value) > MAX_BODY_BYTES:
        raise BadRequestError(413, f"the body is over {MAX_BODY_BYTES} bytes")
    return int(value)


def has_unconditional_body(headers):
    """Tell whether the sender of a head sends a body regardless of the answer.

    A sender that expects 100-continue sends no body after another answer.
    """
    if "Expect" in headers:
        return False
    return headers.get("Content-Length", "0") != "0" or "Transfer-Encoding" in headers


def _connection_options(headers):
    """Return the names of headers that the Connection header makes hop-by-hop."""
    value = headers.get("Connection")
    if value is None:
        return frozenset()
    return frozenset(option.strip().lower() for option in value.split(","))


def response_fields(headers, skipped):
    """Return the headers of a response except those named in `skipped`.

    Raises
    ------
    ValueError
        If a header is malformed.
    """
    fields = httputil.HTTPHeaders()
    for header in headers:
        name = header.name.lower()
        if name in skipped:
            continue
        if not _TOKEN.fullmatch(name) or _INVALID_IN_VALUE.search(header.value):
            raise ValueError(f"header {header.name!r} has an invalid name or value")
        if name == "content-length" and not re.fullmatch("[0-9]{1,15}", header.value):
            raise ValueError(f"header {header.name!r} is not a length in bytes")
        fields.add(header.name, header.value)
    return fields
