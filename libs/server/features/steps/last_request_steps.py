import trio
from behave import when
from connection_steps import run
from serverharness import GET, connect, read_all, run_server

FOLLOWING = {
    'a request': GET % b'second',
    'a line end': b'\r\n',
    'nonsense': b'nonsense\r\n\r\n',
    '1 MB': bytes(1_000_000),
}
LAST = (
    b'POST /wait HTTP/1.1\r\nhost: h\r\nconnection: close\r\n'
    b'content-length: 2\r\n\r\nab'
)


@when('{what} follows a request with the header "connection: close", {moment}')
def follow(context, what, moment):
    async def main(application):
        async with (
            run_server(application) as address,
            await connect(address) as stream,
        ):
            if moment == 'at once':
                await stream.send_all(LAST + FOLLOWING[what])
            else:
                await stream.send_all(LAST)
                await application.begun.wait()
                await stream.send_all(FOLLOWING[what])
            await application.begun.wait()
            await trio.sleep(0.05)
            application.released.set()
            context.response = await read_all(stream)
            context.closed = not context.response.endswith(b'(reset)')
            assert application.seen == ['wait'], application.seen

    run(context, main)
