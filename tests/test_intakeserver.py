"""Tests that the HTTP server admits, refuses and ends requests within its intake."""

import asyncio

from tornado import httputil, web

from sardinegauge import metrics
from sardinegauge.intake import intake, intakemetrics, intakeserver, limits


class Echo(web.RequestHandler):
    """Answers with the body; a request to ``/hold`` waits for `released`."""

    released = None

    async def post(self):
        if self.request.path == "/hold":
            await self.released.wait()
        self.finish(b"%d %d" % (len(self.request.body), len(self.request.arguments)))

    head = post


class Sink(httputil.HTTPServerConnectionDelegate, httputil.HTTPMessageDelegate):
    """A delegate that passes bodies on, and never answers."""

    is_closed = False

    def start_request(self, server_conn, request_conn):
        return self

    def on_connection_close(self):
        self.is_closed = True


def run(test, delegate=None, max_bytes=10 << 20, **options):
    """Run `test(server, ask)`; `ask(data)` returns what comes until the end."""

    async def main():
        Echo.released = asyncio.Event()
        room = limits.Room(max_bytes=max_bytes, max_connections=10)
        taken = intake.Intake(room, intakemetrics.IntakeMetrics(metrics.Metrics()))
        taken.configure(limits.RequestLimits(max_body_bytes=100_000))
        served = delegate or web.Application([("/.*", Echo)], log_function=str)
        server = intakeserver.serve(served, "127.0.0.1:0", taken, **options)
        port = next(iter(server._sockets.values())).getsockname()[1]

        async def ask(data):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            async with asyncio.timeout(10):
                try:
                    return await reader.read()
                except ConnectionResetError:
                    return b"reset"
                finally:
                    writer.close()

        async with asyncio.timeout(30):
            await test(server, ask)
        server.stop()

    asyncio.run(main())


def request(body=b"", *fields, method="POST", path="/", length=None):
    length = len(body) if length is None else length
    first = [f"{method} {path} HTTP/1.1", "Host: a", f"Content-Length: {length}"]
    lines = [*first, *fields]
    head = "".join(f"{line}\r\n" for line in [*lines, "Connection: close", ""])
    return head.encode() + body


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_whole_request_is_served_and_releases_its_share():
    async def test(server, ask):
        assert (await ask(request(b"x" * 50_000))).endswith(b"\r\n50000 0")
        await wait_until(lambda: not server.intake.budget.reserved_bytes)
        assert server.connection_count == 0

    run(test)


def test_body_over_the_limit_is_refused_before_it_is_sent():
    async def test(server, ask):
        answer = await ask(request(b"", length=100_001))
        assert answer.startswith(b"HTTP/1.1 413") and b'"not-run"' in answer
        answer = await ask(request(b"", "Expect: 100-continue", length=100_001))
        assert answer.startswith(b"HTTP/1.1 413") and b"100 (Continue)" not in answer

    run(test)


def test_length_of_thousands_of_digits_is_over_the_limit():
    """Its conversion failed, and the stack trace went to the log for each request."""

    async def test(server, ask):
        answer = await ask(request(b"", length="9" * 5000))
        assert answer.startswith(b"HTTP/1.1 413")

    run(test)


def test_refused_head_request_gets_no_body():
    async def test(server, ask):
        answer = await ask(request(b"", method="HEAD", length=100_001))
        assert answer.startswith(b"HTTP/1.1 413") and answer.endswith(b"\r\n\r\n")

    run(test)


def test_request_without_room_is_refused_with_the_time_to_return():
    async def test(server, ask):
        answer = await ask(request(b"x" * 90_000))
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: 1" in answer and b'"not-run"' in answer
        assert (await ask(request(b"x"))).startswith(b"HTTP/1.1 200")

    run(test, max_bytes=200_000)


def test_repeated_request_that_may_have_run_is_not_called_refused():
    """A 503 promises that a job never runs, but an earlier copy was accepted."""

    async def test(server, ask):
        for path, status in ((b"/known", b"504"), (b"/new", b"503")):
            answer = await ask(request(b"x" * 90_000, path=path.decode()))
            assert answer.startswith(b"HTTP/1.1 " + status)
            assert (b"may-have-run" in answer) == (status == b"504")
            assert (b"Retry-After" in answer) == (status == b"503")
        # A limit is told as such, or the caller would send the same again and again.
        answer = await ask(request(b"", path="/known", length=100_001))
        assert answer.startswith(b"HTTP/1.1 413") and b"may-have-run" in answer

    run(test, max_bytes=200_000, may_have_run=lambda line: line.path == "/known")


def test_fields_of_a_form_are_not_parsed():
    """A form became a table of its fields, many times as large as its body."""

    async def test(server, ask):
        for kind in intakeserver.FORM_TYPES:
            answer = await ask(request(b"a=1&" * 1000, f"Content-Type: {kind}"))
            assert answer.endswith(b"\r\n4000 0")

    run(test)


def test_work_for_a_caller_who_left_keeps_its_share():
    """Callers who leave must not free the room that their requests still use."""

    async def test(server, ask):
        asking = asyncio.ensure_future(ask(request(b"x" * 1000, path="/hold")))
        await wait_until(lambda: len(server.intake.budget))
        asking.cancel()
        await wait_until(lambda: not server.connection_count)
        assert server.intake.budget.reserved_bytes > 4000
        Echo.released.set()
        await wait_until(lambda: not server.intake.budget.reserved_bytes)

    run(test)


def test_stalled_body_is_answered_when_it_gives_way():
    async def test(server, ask):
        asking = asyncio.ensure_future(ask(request(b"x", length=30_000)))
        await wait_until(lambda: len(server.intake.budget))
        await asyncio.sleep(1.1)
        assert (await ask(request(b"x" * 20_000))).startswith(b"HTTP/1.1 200")
        assert (await asking).startswith(b"HTTP/1.1 503")
        await wait_until(lambda: not server.connection_count)
        assert not server.intake.budget.reserved_bytes

    run(test, max_bytes=300_000)


def test_body_that_was_passed_on_is_cut_without_a_status():
    """A refusal would claim that a request did not run which an upstream received."""
    sink = Sink()

    async def test(server, ask):
        taken = request(b"x" * 2000, length=90_000)
        asking = asyncio.ensure_future(ask(taken))
        await wait_until(lambda: len(server.intake.budget))
        await asyncio.sleep(0.1)
        (connection,) = server.intake.table._connections
        connection.owner.close("idle_timeout")
        assert await asking in (b"", b"reset")
        await wait_until(lambda: sink.is_closed)

    run(test, sink, max_held_bytes=lambda path: 1000)
