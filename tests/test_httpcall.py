"""Guards against wrong or lost responses on reused upstream connections."""

import asyncio

import pytest

from sardinegauge.links import httpcall

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
WRONG = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"


class BodyCollector(httpcall.Receiver):
    def __init__(self):
        self.data = b""

    async def on_head(self, status, headers):
        pass

    async def on_chunk(self, data):
        self.data += data


@pytest.mark.parametrize(
    ("answer", "is_closed", "is_kept"),
    [(OK, False, True), (OK + WRONG, False, False), (OK, True, False)],
)
def test_only_a_clean_connection_is_used_again(answer, is_closed, is_kept):
    """Bytes after a response must not be read as the response to a later request."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        if not is_closed:
            await reader.read()
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = httpcall.Pool(address, 1)
        stream = await pool.connect()
        body = BodyCollector()
        await httpcall.exchange(
            stream, address, "GET", "/", [], None, body, keep_alive=True
        )
        assert body.data == b"ok"
        pool.give(stream)
        await asyncio.sleep(0.1)  # Lets the close or the extra bytes arrive.
        again = pool.take()
        assert (again is not None) == is_kept
        if again is not None:
            again.close()
            pool.give(again)
        server.close()

    asyncio.run(run())
