import cbor2
import httpcore
import trio
from behave import given, then

from tarragonlb.model.errors import PlatformError, RecordsExpiredError
from tarragonlb.platform.client import PlatformClient
from tarragonlb.platform.remote import RemoteFleet, RemoteLog

BODIES = {
    'text': b'text',
    'nothing': b'',
    '5000 nested lists': b'\x81' * 5000,
    'a number of 9000 digits': b'\xc2\x59\x10\x00' + b'\xff' * 4096,
    'rows of other types': cbor2.dumps([[-1, 'x'], [1]]),
}


class CannedConnections:
    def __init__(self, status, body):
        self.response = httpcore.Response(status, content=body)

    async def request(self, *_args, **_options):
        await self.response.aread()
        return self.response


@given('a platform that responds with {status:d} and {body}')
def create_platform(context, status, body):
    context.platform_client = PlatformClient('127.0.0.1:1')
    context.platform_client._connections = CannedConnections(
        status, BODIES[body]
    )


@then('a call of the log and one of the fleet fail as calls of the platform')
def check_calls(context):
    client = context.platform_client
    for read in (RemoteLog(client).read, RemoteFleet(client).read):
        try:
            trio.run(read, 0, 0)
        except PlatformError as error:
            assert not isinstance(error, RecordsExpiredError), error
        else:
            raise AssertionError('the call did not fail')
