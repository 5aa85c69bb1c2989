"""Minimal HTTP server for the health and metrics pages.

It uses only tornado's connection class, since `tornado.httpserver` and `tornado.web`
would add to the memory use of the agent without a need.
"""

from tornado import http1connection, httputil, tcpserver

MAX_HEADER_BYTES = 8192
IDLE_TIMEOUT_S = 30.0


class PageServer(tcpserver.TCPServer, httputil.HTTPServerConnectionDelegate):
    """Serves pages by path.

    Parameters
    ----------
    page_by_path : dict
        Callables without arguments that return status, content type and body bytes.
    """

    def __init__(self, page_by_path):
        super().__init__()
        self.page_by_path = page_by_path
        self._connections = set()
        self._parameters = http1connection.HTTP1ConnectionParameters(
            header_timeout=IDLE_TIMEOUT_S, max_header_size=MAX_HEADER_BYTES
        )

    async def handle_stream(self, stream, address):
        """Serve one accepted connection."""
        connection = http1connection.HTTP1ServerConnection(
            stream, self._parameters, address
        )
        self._connections.add(connection)
        connection.start_serving(self)

    def start_request(self, server_conn, request_conn):
        """See `httputil.HTTPServerConnectionDelegate`."""
        return _Page(request_conn, self.page_by_path)

    def on_close(self, server_conn):
        """See `httputil.HTTPServerConnectionDelegate`."""
        self._connections.discard(server_conn)

    async def close(self):
        """Stop listening and close all connections."""
        self.stop()
        for connection in list(self._connections):
            await connection.close()


class _Page(httputil.HTTPMessageDelegate):
    def __init__(self, connection, page_by_path):
        self.connection = connection
        self.page_by_path = page_by_path
        self.path = ""

    def headers_received(self, start_line, headers):
        self.path = start_line.path.partition("?")[0]

    def finish(self):
        render_page = self.page_by_path.get(self.path, _not_found)
        status, content_type, body = render_page()
        headers = httputil.HTTPHeaders()
        headers["Content-Type"] = content_type
        headers["Content-Length"] = str(len(body))
        reason = httputil.responses.get(status, "Unknown")
        self.connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, reason), headers, body
        )
        self.connection.finish()


def _not_found():
    return 404, "text/plain", b"not found\n"
