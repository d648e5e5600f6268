"""Tests that the stand-ins' reader of HTTP messages takes no reset for the end of an answer without a length.

A caller that did so would call a cut answer a whole one, and miss what it is to find.
"""

import asyncio
import unittest

import http_stream

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
BODY = b"part"


async def read_answer(end):
    """Reads an answer without a length from a server that ends the connection with a function of its stream."""
    async def serve(stream):
        await stream.read_exactly(1)
        stream.write(HEAD + BODY)
        await asyncio.sleep(0.05)
        end(stream)

    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: http_stream.Stream(lambda stream: loop.create_task(serve(stream))), "127.0.0.1")
    async with server:
        stream = await http_stream.connect(server.sockets[0].getsockname()[1])
        stream.write(b"x")
        _, headers = await stream.read_head()
        return await asyncio.wait_for(stream.read_body(headers, until_close=True), 5)


class BodiesThatEndWithTheConnection(unittest.TestCase):
    def test_orderly_end(self):
        self.assertEqual(asyncio.run(read_answer(http_stream.Stream.close)), BODY)

    def test_reset(self):
        with self.assertRaises(EOFError):
            asyncio.run(read_answer(http_stream.Stream.reset))


if __name__ == "__main__":
    unittest.main()
