"""Commands on jobs."""

import json
import sys
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import cyclopts

from tarragonlb.cli.session import DEFAULT_SESSION, Session
from tarragonlb.telemetry.trace import TraceEvent, trace_job

EXIT_NOTHING_FOUND = 1
EXIT_BAD_FILE = 2

application = cyclopts.App(name='job', help='Submit and follow jobs.')


@cyclopts.Parameter(name='*')
@dataclass(frozen=True, slots=True, kw_only=True)
class JobOptions:
    """What a job needs.

    Parameters
    ----------
    cores
        Processor cores to reserve.
    memory_gb
        Gigabytes of memory to reserve.
    payload
        Text that the worker is given.
    urgent
        Start before all patient work.
    idempotent
        Running it twice does no harm.
    deadline_seconds
        When it should be done, counted from now.

    """

    cores: int = 1
    memory_gb: int = 0
    payload: str = ''
    urgent: bool = False
    idempotent: bool = False
    deadline_seconds: float = 86_400


DEFAULT_OPTIONS = JobOptions()


@application.command
def submit(
    kind: str,
    pool: str,
    *,
    options: JobOptions = DEFAULT_OPTIONS,
    key: str = '',
    session: Session = DEFAULT_SESSION,
) -> None:
    """Submit a job.

    Parameters
    ----------
    kind
        Jobs of one kind have similar sizes and run times.
    pool
        The pool to run on.
    options
        What the job needs.
    key
        The same key gives the same job.

    """
    order = {'kind': kind, 'pool': pool, **asdict(options)}
    headers = {'idempotency-key': key} if key else {}
    session.show(session.connect().send('POST', '/v1/jobs', order, headers))


@application.command
def show(job_id: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Show one job."""
    session.get(f'/v1/jobs/{job_id}')


@application.command(name='list')
def list_jobs(*, session: Session = DEFAULT_SESSION) -> None:
    """List all jobs that you may see."""
    session.get('/v1/jobs')


@application.command
def cancel(job_ids: list[str], *, session: Session = DEFAULT_SESSION) -> None:
    """Cancel jobs by one change."""
    order = {'job_ids': job_ids}
    session.show(session.connect().send('POST', '/v1/jobs/cancel', order))


@application.command
def trace(
    job_id: str,
    *files: Path,
    as_json: Annotated[bool, cyclopts.Parameter(name='--json')] = False,
) -> None:
    """Follow a job through the logs of several daemons.

    Parameters
    ----------
    job_id
        The id that the job was handed in under.
    files
        Logs, one or more daemons a file.
    as_json
        Write one JSON object a line.

    """
    try:
        sources = [
            (path.name, path.read_text(errors='replace').splitlines())
            for path in files
        ]
    except OSError as error:
        sys.stderr.write(f'tarragonlb: {error}\n')
        sys.exit(EXIT_BAD_FILE)
    events = trace_job(job_id, sources)
    for event in events:
        sys.stdout.write(_show_event(event, as_json=as_json))
    if not events:
        sys.stderr.write(f'tarragonlb: no line names job {job_id}\n')
        sys.exit(EXIT_NOTHING_FOUND)


def _show_event(event: TraceEvent, *, as_json: bool) -> str:
    if as_json:
        return f'{json.dumps(asdict(event))}\n'
    details = ' '.join(f'{name}={told}' for name, told in event.details.items())
    return f'{event.seconds:.3f} {event.source:20} {event.sentence} {details}\n'
