"""HTTP server of the entry: routes reserved paths, operators' calls and callers."""

import weakref

from tornado import httpserver, httputil, web

from sardinegauge import addresses
from sardinegauge.entries import callerhttp, entrymetrics, operatorapi

RESERVED_PREFIXES = ("/-/", "/sardinegauge.v1.")
# Limit of the wait for a request's head, and thus of idle time between requests.
HEADER_TIMEOUT_S = 60.0
# A head between the limit of `requesthead` and this one is answered with a status; on a
# longer one the HTTP server closes the connection.
MAX_SERVER_HEADER_BYTES = 64 * 1024
# Effectively unlimited: `callerhttp` checks body sizes, since it can answer with a
# status.
MAX_SERVER_BODY_BYTES = 1 << 40
# Calls to reserved paths are buffered completely.
MAX_RESERVED_BODY_BYTES = 4 << 20
STREAM_BUFFER_BYTES = 256 * 1024
# An idle connection uses about 20 KB of memory and a file descriptor.
MAX_CONNECTIONS = 4096
_TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Sardinegauge-Verdict: not-run\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


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


class _Server(httpserver.HTTPServer):
    """An HTTP server that limits the number of its open connections."""

    def initialize(self, *arguments, **options):
        super().initialize(*arguments, **options)
        self.connection_count = 0

    def handle_stream(self, stream, address):
        if self.connection_count >= MAX_CONNECTIONS:
            stream.write(_TOO_MANY_CONNECTIONS)
            stream.close()
            return
        self.connection_count += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        self.connection_count -= 1
        super().on_close(server_conn)


def serve(delegate, address):
    """Serve HTTP on an ``ip:port`` address; return the server.

    Parameters
    ----------
    delegate : tornado.httputil.HTTPServerConnectionDelegate
        A `Router`, or a tornado application.
    address : str
        Address to listen on; port 0 selects a free port.
    """
    server = _Server(
        delegate,
        idle_connection_timeout=HEADER_TIMEOUT_S,
        max_header_size=MAX_SERVER_HEADER_BYTES,
        max_body_size=MAX_SERVER_BODY_BYTES,
        max_buffer_size=STREAM_BUFFER_BYTES,
    )
    host, port = addresses.split(address)
    server.listen(port, host)
    return server
