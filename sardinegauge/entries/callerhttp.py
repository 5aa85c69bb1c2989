"""HTTP side of one caller's request: checks the head, receives the body, responds."""

import asyncio
import http
import json
import math
import socket
import struct

from tornado import httputil

from sardinegauge import outcome
from sardinegauge.entries import requestbody, requesthead

MAX_BUFFERED_BODY_BYTES = 256 * 1024
# Bytes of a body that are read and discarded after an early answer. Closing at once
# would reset the connection, and the caller could lose the answer.
MAX_DISCARDED_BYTES = 1 << 20
DISCARD_TIMEOUT_S = 1.0


class Caller(httputil.HTTPMessageDelegate):
    """One request of a caller and its response.

    Parameters
    ----------
    dispatcher : requestdispatcher.RequestDispatcher
        Receives the request's events.
    connection : tornado.http1connection.HTTP1Connection
        The caller's connection.
    """

    def __init__(self, dispatcher, connection):
        self.dispatcher = dispatcher
        self.connection = connection
        self.body = requestbody.Body(MAX_BUFFERED_BODY_BYTES, self._body_ready)
        self.head = None
        self.is_disconnected = False
        self.is_answered = False
        self.last_byte_s = 0.0
        self.number = 0
        self.request_id = ""
        self.response_status = 0
        self.started_s = 0.0
        self.timer = None
        self._discarded_bytes = 0
        self._has_unconditional_body = False
        self._is_discarding = False
        self._pending_fields = None

    # HTTPMessageDelegate

    def headers_received(self, start_line, headers):
        """Check the head and pass the request to the dispatcher."""
        self.connection.set_close_callback(self._connection_closed)
        self._has_unconditional_body = requesthead.has_unconditional_body(headers)
        try:
            self.head = requesthead.parse_head(start_line, headers)
        except requesthead.BadRequestError as error:
            self.dispatcher.bad_request(self, error)
            return
        self.dispatcher.request_arrived(self)

    def data_received(self, chunk):
        """Buffer a chunk of the body; return a future while the buffer is full."""
        if self.is_answered:
            self._discard(len(chunk))
            return None
        if self.body.total_bytes + len(chunk) > requesthead.MAX_BODY_BYTES:
            reason = f"the body is over {requesthead.MAX_BODY_BYTES} bytes"
            self.dispatcher.caller_disconnected(self, is_body_truncated=True)
            self.answer(413, outcome.Verdict.NOT_RUN, reason)
            return None
        self.last_byte_s = self.dispatcher.time_s()
        return self.body.add(chunk)

    def finish(self):
        """Mark the body as complete."""
        if self._is_discarding:
            self.connection.finish()
        else:
            self.body.end()

    def on_connection_close(self):
        """Report that the caller disconnected before its body ended."""
        self._connection_closed()

    def release(self):
        """Release what is reserved for the request, whose body is not needed any more.

        Until then, an attempt goes on with the body of a caller who has left.
        """
        self.connection.release()

    def _connection_closed(self):
        if self.is_disconnected:
            return
        self.is_disconnected = True
        is_body_truncated = not self.body.is_ended
        if is_body_truncated:
            self.body.abort()
        self.dispatcher.caller_disconnected(self, is_body_truncated)

    def _body_ready(self):
        if not self.is_answered:
            self.dispatcher.body_ready(self)

    # Response

    def prepare_response(self, head):
        """Check the head of an upstream's response and store it for `start_response`.

        Raises
        ------
        ValueError
            If the status or a header cannot be sent to the caller.
        """
        if not 200 <= head.status <= 599:
            raise ValueError(f"status {head.status} is not within 200 to 599")
        self.response_status = head.status
        self._pending_fields = requesthead.response_fields(
            head.headers, requesthead.HOP_BY_HOP
        )

    def start_response(self):
        """Send the prepared head, together with the first bytes of the body if any.

        Sending both in one write halves the number of packets of a short response.
        """
        self._add_common_fields(self._pending_fields, outcome.Verdict.RAN)
        asyncio.get_running_loop().call_soon(self._flush_head)

    def _flush_head(self, data=None):
        fields, self._pending_fields = self._pending_fields, None
        if fields is not None and not self.is_disconnected:
            return self._write_head(self.response_status, fields, data)
        return None

    def write(self, data):
        """Send a chunk of the response's body.

        Returns
        -------
        asyncio.Future or None
            Done when the connection can accept more; None if there is no need to wait.
        """
        if self.is_disconnected or self.is_answered or not data:
            return None
        if self.head.method == "HEAD" or self.response_status in (204, 304):
            return None
        if self._pending_fields is not None:
            pending = self._flush_head(data)
        else:
            pending = self.connection.write(data)
        return pending if self.connection.stream.writing() else None

    def finish_response(self):
        """End a complete response."""
        self.is_answered = True
        self.body.abort()
        if self.is_disconnected:
            return
        try:
            self._flush_head()
            self.connection.finish()
        except httputil.HTTPOutputError:
            self.abort_response()

    def abort_response(self):
        """Reset the connection so that the caller sees an incomplete response.

        An orderly close would look like the end of a response that is delimited by
        the end of its connection.
        """
        self.is_answered = True
        self.body.abort()
        stream = self.connection.stream
        if stream is not None and not stream.closed():
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.close()

    def answer(self, status, verdict, reason, retry_after_ms=0):
        """Answer with a status of the entry's own and the reason as JSON."""
        text = json.dumps({"error": reason, "verdict": verdict.value}) + "\n"
        fields = httputil.HTTPHeaders({"Content-Type": "application/json"})
        if retry_after_ms:
            fields["Retry-After"] = str(math.ceil(retry_after_ms / 1000))
        if status == 405:
            fields["Allow"] = ", ".join(sorted(requesthead.METHODS))
        self._add_common_fields(fields, verdict)
        self._send_response(status, fields, text.encode())

    def replay(self, response):
        """Answer with a stored response, a `httpmessages.KeyReply`."""
        skipped = requesthead.HOP_BY_HOP | {"content-length"}
        fields = requesthead.response_fields(response.headers, skipped)
        self._add_common_fields(fields, outcome.Verdict.RAN)
        self._send_response(response.status, fields, response.body)

    def _send_response(self, status, fields, data):
        self.is_answered = True
        self.body.abort()
        if self.is_disconnected:
            return
        has_body = status not in (204, 304)
        if has_body:
            fields["Content-Length"] = str(len(data))
        is_head = self.head is not None and self.head.method == "HEAD"
        self._write_head(status, fields, data if has_body and not is_head else None)
        if self.body.is_ended or not self._has_unconditional_body:
            self.connection.finish()
            return
        self._is_discarding = True
        self.dispatcher.call_later(DISCARD_TIMEOUT_S, self._end_discarding)

    def _discard(self, size):
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._end_discarding()

    def _end_discarding(self):
        if self._is_discarding and not self.is_disconnected:
            self._is_discarding = False
            self.connection.finish()

    def _add_common_fields(self, fields, verdict):
        fields["Sardinegauge-Verdict"] = verdict.value
        if self.request_id:
            fields["Sardinegauge-Request-Id"] = self.request_id
        if self.dispatcher.is_draining:
            fields["Connection"] = "close"

    def _write_head(self, status, fields, data=None):
        try:
            phrase = http.HTTPStatus(status).phrase
        except ValueError:
            phrase = "Unknown"
        line = httputil.ResponseStartLine("HTTP/1.1", status, phrase)
        return self.connection.write_headers(line, fields, data)
