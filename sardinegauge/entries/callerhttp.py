"""HTTP side of one caller's request: checks the head, takes the body, answers."""

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
# Bytes of an unwanted body that are taken after an early answer. Closing at once would
# reset the connection and could destroy the answer on its way.
MAX_DISCARDED_BYTES = 1 << 20
DISCARD_LIMIT_S = 1.0


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
        self.response_status = 0
        self.started_s = 0.0
        self.timer = None
        self._discarded = 0
        self._awaits_body = False
        self._is_body_dropped = False
        self._fields = None

    # HTTPMessageDelegate

    def headers_received(self, start_line, headers):
        """Check the head and hand the request to the front."""
        self.connection.set_close_callback(self._closed)
        self._awaits_body = requesthead.awaits_body(headers)
        try:
            self.head = requesthead.parse_head(start_line, headers)
        except requesthead.BadRequestError as error:
            self.front.bad_request(self, error)
            return
        self.front.request_arrived(self)

    def data_received(self, chunk):
        """Take a piece of the body; return a future while the buffer is full."""
        if self.is_answered:
            self._discard(len(chunk))
            return None
        if self.body.total + len(chunk) > requesthead.MAX_BODY_BYTES:
            reason = f"the body is over {requesthead.MAX_BODY_BYTES} bytes"
            self.front.caller_disconnected(self, is_body_truncated=True)
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
        is_body_truncated = not self.body.is_ended
        if is_body_truncated:
            self.body.break_off()
        self.front.caller_disconnected(self, is_body_truncated)

    def _body_ready(self):
        if not self.is_answered:
            self.front.body_ready(self)

    # Response

    def prepare_response(self, head):
        """Check the head of an upstream's response and keep it for `start_response`.

        Raises
        ------
        ValueError
            If it cannot be sent as it is.
        """
        if not 200 <= head.status <= 599:
            raise ValueError(f"status {head.status}")
        self.response_status = head.status
        self._fields = requesthead.response_fields(head.headers, requesthead.HOP_BY_HOP)

    def start_response(self):
        """Send the prepared head, together with the body's first bytes if they wait.

        One write for both halves the packets of a short response.
        """
        self._add_common(self._fields, outcome.Verdict.RAN)
        asyncio.get_running_loop().call_soon(self._flush_head)

    def _flush_head(self, data=None):
        fields, self._fields = self._fields, None
        if fields is not None and not self.is_gone:
            return self._write_head(self.response_status, fields, data)
        return None

    def write(self, data):
        """Send a piece of the response's body.

        Returns
        -------
        asyncio.Future or None
            To wait for while the connection takes no more.
        """
        if self.is_gone or self.is_answered or not data:
            return None
        if self.head.method == "HEAD" or self.response_status in (204, 304):
            return None
        if self._fields is not None:
            pending = self._flush_head(data)
        else:
            pending = self.connection.write(data)
        return pending if self.connection.stream.writing() else None

    def finish_response(self):
        """End a whole response."""
        self.is_answered = True
        self.body.break_off()
        if self.is_gone:
            return
        try:
            self._flush_head()
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
            fields["Allow"] = ", ".join(sorted(requesthead.METHODS))
        self._add_common(fields, verdict)
        self._answer_whole(status, fields, text.encode())

    def replay(self, response):
        """Answer with a stored response, a `httpmessages.KeyReply`."""
        skipped = requesthead.HOP_BY_HOP | {"content-length"}
        fields = requesthead.response_fields(response.headers, skipped)
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
        if self.body.is_ended or not self._awaits_body:
            self.connection.finish()
            return
        self._is_body_dropped = True
        self.front.call_later(DISCARD_LIMIT_S, self._end_discarding)

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
        try:
            phrase = http.HTTPStatus(status).phrase
        except ValueError:
            phrase = "Unknown"
        line = httputil.ResponseStartLine("HTTP/1.1", status, phrase)
        return self.connection.write_headers(line, fields, data)
