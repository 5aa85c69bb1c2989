"""HTTP server of the entry: routes reserved paths, operators' calls and callers."""

import weakref

from tornado import httputil, web

from sardinegauge.entries import callerhttp, entrymetrics, operatorapi
from sardinegauge.intake import intake, intakeserver, limits

RESERVED_PREFIXES = ("/-/", "/sardinegauge.v1.")
# Limit of the wait for a request's head, and thus of idle time between requests.
HEADER_TIMEOUT_S = 60.0
# A head between the limit of `requesthead` and this one is answered with a status; on a
# longer one the HTTP server closes the connection.
MAX_SERVER_HEADER_BYTES = 32 * 1024
# Calls to reserved paths are buffered completely.
MAX_RESERVED_BODY_BYTES = 4 << 20
# An idle connection uses about 20 KB of memory and a file descriptor.
MAX_CONNECTIONS = 4096
# Room of the listener for metrics and operators, for one of their largest calls.
INTERNAL_ROOM = limits.Room(max_bytes=32 << 20, max_connections=32)


class Router(httputil.HTTPServerConnectionDelegate):
    """Routes reserved paths to tornado handlers and all others to `callerhttp`."""

    def __init__(self, app, reserved):
        self.app = app
        self.reserved = reserved
        self._connections = weakref.WeakSet()

    @property
    def is_flushing(self):
        """Tell whether any connection has unsent data in its buffer."""
        streams = (connection.stream for connection in self._connections)
        return any(stream is not None and stream.writing() for stream in streams)

    def start_request(self, server_conn, request_conn):
        """Return the delegate for one request."""
        self._connections.add(request_conn)
        return _RoutedMessage(self, request_conn)

    def on_close(self, server_conn):
        """Do nothing: the delegate of the last request handles the close itself."""


class _RoutedMessage(httputil.HTTPMessageDelegate):
    """Passes one request to the delegate that serves its path."""

    def __init__(self, router, connection):
        self.router = router
        self.connection = connection
        self.delegate = None

    def headers_received(self, start_line, headers):
        path = start_line.path
        if path.startswith(RESERVED_PREFIXES):
            self.connection.set_max_body_size(MAX_RESERVED_BODY_BYTES)
            self.delegate = self.router.reserved.start_request(None, self.connection)
        else:
            self.delegate = callerhttp.Caller(self.router.app.requests, self.connection)
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        return self.delegate.data_received(chunk)

    def finish(self):
        self.delegate.finish()

    def on_connection_close(self):
        if self.delegate is not None:
            self.delegate.on_connection_close()


class _Health(web.RequestHandler):
    """Liveness probe: answers 200 while the process runs."""

    def get(self):
        self.write("ok\n")


class _Ready(web.RequestHandler):
    """Readiness probe: answers 200 while requests are accepted, 503 otherwise."""

    def initialize(self, app):
        self.app = app

    def get(self):
        if self.app.is_ready():
            self.write("ready\n")
        else:
            self.set_status(503)
            self.set_header("Retry-After", "1")
            self.write("not ready\n")


class _MetricsPage(web.RequestHandler):
    """Serves the metrics page."""

    def initialize(self, app):
        self.app = app

    def get(self):
        self.set_header("Content-Type", entrymetrics.CONTENT_TYPE)
        self.write(self.app.metrics.page(self.app.state))


def reserved_routes(app, state_client, tokens):
    """Return the tornado application of the reserved paths and operators' calls."""
    routes = [
        ("/-/health", _Health),
        ("/-/ready", _Ready, {"app": app}),
        ("/-/metrics", _MetricsPage, {"app": app}),
        *operatorapi.routes(state_client, tokens, app.log),
    ]
    return web.Application(routes, log_function=lambda handler: None)


def make_intake(room, metrics, listener):
    """Return the `intake.Intake` of a listener.

    Parameters
    ----------
    room : limits.Room
    metrics : intakemetrics.IntakeMetrics
    listener : str
        Who is served, as a label of the metrics.
    """
    room = room.replace(max_connections=min(room.max_connections, MAX_CONNECTIONS))
    timeout_ms = int(1000 * HEADER_TIMEOUT_S)
    defaults = limits.RequestLimits(
        max_header_bytes=MAX_SERVER_HEADER_BYTES,
        max_body_bytes=MAX_RESERVED_BODY_BYTES,
        header_timeout_ms=timeout_ms,
        idle_timeout_ms=timeout_ms,
    )
    return intake.Intake(room, metrics, defaults, listener)


def serve(delegate, address, taken_by, max_held_bytes=intakeserver.hold_all):
    """Serve HTTP on an ``ip:port`` address; return the server.

    Parameters
    ----------
    delegate : tornado.httputil.HTTPServerConnectionDelegate
        A `Router`, or a tornado application.
    address : str
        Address to listen on; port 0 selects a free port.
    taken_by : intake.Intake
        What is taken from all callers.
    max_held_bytes : callable, optional
        See `intakeserver.serve`.
    """
    return intakeserver.serve(
        delegate,
        address,
        taken_by,
        max_held_bytes,
        idle_connection_timeout=HEADER_TIMEOUT_S,
    )


def max_held_bytes(path):
    """Return the most bytes that a `Router` holds of a body, 0 for all of it."""
    if path.startswith(RESERVED_PREFIXES):
        return 0
    return callerhttp.MAX_BUFFERED_BODY_BYTES
