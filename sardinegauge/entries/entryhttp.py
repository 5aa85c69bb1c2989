"""HTTP server of the entry: reserved paths, operators' calls and callers."""

import weakref

from tornado import httpserver, httputil, web

from sardinegauge.entries import callerhttp, entrymetrics, operatorapi
from sardinegauge.links import link

RESERVED_PREFIXES = ("/-/", "/sardinegauge.v1.")
# Longest wait for a request's head, and of an idle connection between requests.
HEADER_LIMIT_S = 60.0
# The HTTP server answers a head between the limit of `callerhttp` and this one with a
# status, and closes the connection on a longer one.
MAX_SERVER_HEADER_BYTES = 64 * 1024
# Body limits are checked by `callerhttp`, which can answer with a status.
MAX_SERVER_BODY_BYTES = 1 << 40
# Calls to reserved paths are buffered whole.
MAX_RESERVED_BODY_BYTES = 4 << 20
STREAM_BUFFER_BYTES = 256 * 1024
# An idle connection holds about 20 KB and a descriptor.
MAX_CONNECTIONS = 4096
_TOO_MANY = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Sardinegauge-Verdict: not-run\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class Router(httputil.HTTPServerConnectionDelegate):
    """Hands reserved paths to tornado handlers and all others to callers."""

    def __init__(self, app, reserved):
        self.app = app
        self.reserved = reserved
        self._connections = weakref.WeakSet()

    @property
    def is_flushing(self):
        """Tell whether answers are still on their way into sockets."""
        streams = (connection.stream for connection in self._connections)
        return any(stream is not None and stream.writing() for stream in streams)

    def start_request(self, server_conn, request_conn):
        """Return the delegate of one message."""
        self._connections.add(request_conn)
        return _RoutedMessage(self, request_conn)

    def on_close(self, server_conn):
        """Take note that a connection closed; its last message knows already."""


class _RoutedMessage(httputil.HTTPMessageDelegate):
    """Passes one message to the delegate that its path calls for."""

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
    """Answers while the process runs."""

    def get(self):
        self.write("ok\n")


class _Ready(web.RequestHandler):
    """Answers 200 while requests are taken, 503 otherwise."""

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
    """The metrics page."""

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
    """An HTTP server with a bound on its connections."""

    def initialize(self, *arguments, **options):
        super().initialize(*arguments, **options)
        self.open_count = 0

    def handle_stream(self, stream, address):
        if self.open_count >= MAX_CONNECTIONS:
            stream.write(_TOO_MANY)
            stream.close()
            return
        self.open_count += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        self.open_count -= 1
        super().on_close(server_conn)


def serve(delegate, address):
    """Serve HTTP on an ``ip:port`` address; return the server.

    Parameters
    ----------
    delegate : tornado.httputil.HTTPServerConnectionDelegate
        A `Front`, or a tornado application.
    address : str
        Where to listen; port 0 takes a free one.
    """
    server = _Server(
        delegate,
        idle_connection_timeout=HEADER_LIMIT_S,
        max_header_size=MAX_SERVER_HEADER_BYTES,
        max_body_size=MAX_SERVER_BODY_BYTES,
        max_buffer_size=STREAM_BUFFER_BYTES,
    )
    host, port = link.split_address(address)
    server.listen(port, host)
    return server
