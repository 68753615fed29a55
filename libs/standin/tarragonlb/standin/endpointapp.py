"""An endpoint stand-in: slots, delays, failures, and a journal of its own.

The journal holds the id of every request that ran here.  Tests take it as the
witness of what really happened.
"""

import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

STATUS_UNAVAILABLE = 503
REBOOT_SECONDS = 0.5


class EndpointStandin:
    """Runs requests in a limited number of slots."""

    __slots__ = ('_name', '_slots', 'active', 'away_until', 'ran')

    def __init__(self, name: str, slots: int) -> None:
        """Start idle."""
        self._name = name
        self._slots = slots
        self.active = 0
        self.away_until = 0.0
        self.ran: list[str] = []

    def make_application(self) -> Starlette:
        """Return the application to serve."""
        return Starlette(
            routes=[
                Route('/active', self.show_active, methods=['POST']),
                Route('/reboot', self.reboot, methods=['POST']),
                Route('/journal', self.show_journal),
                Route('/call/{path:path}', self.run, methods=['GET', 'POST']),
            ]
        )

    async def show_active(self, request: Request) -> Response:
        """Answer with the number of requests in progress."""
        return PlainTextResponse(str(self.active))

    async def show_journal(self, request: Request) -> Response:
        """Answer with the marks of the requests that ran."""
        return JSONResponse(self.ran)

    async def reboot(self, request: Request) -> Response:
        """Be away for a while; a request in progress would be cut."""
        self.away_until = trio.current_time() + REBOOT_SECONDS
        cut = self.active
        return PlainTextResponse(str(cut))

    async def run(self, request: Request) -> Response:
        """Run a request: ``seconds`` long, marked by ``mark``."""
        away = trio.current_time() < self.away_until
        if away or self.active >= self._slots:
            return Response(
                status_code=STATUS_UNAVAILABLE,
                headers={'tarragon-verdict': 'not-run'},
            )
        self.active += 1
        try:
            return await self._run(request)
        finally:
            self.active -= 1

    async def _run(self, request: Request) -> Response:
        body = await request.body()
        mark = request.query_params.get('mark', '')
        self.ran.append(mark)
        await trio.sleep(float(request.query_params.get('seconds', '0')))
        return JSONResponse(
            {
                'endpoint': self._name,
                'mark': mark,
                'bytes': len(body),
                'body': body.decode('latin-1')[:200],
            }
        )
