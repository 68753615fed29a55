"""Commands that submit, show, cancel and trace jobs."""

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

application = cyclopts.App(name='job', help='Submit, show and trace jobs.')


@cyclopts.Parameter(name='*')
@dataclass(frozen=True, slots=True, kw_only=True)
class JobOptions:
    """Resources and properties of a job.

    Parameters
    ----------
    cores
        Processor cores to reserve.
    memory_gb
        Gigabytes of memory to reserve.
    payload
        Text that is passed to the worker.
    urgent
        Start before all jobs that are not urgent.
    idempotent
        The job may safely run more than once.
    deadline_seconds
        Seconds from now until the job should be done.

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
        Resources and properties of the job.
    key
        Idempotency key: repeating it returns the same job.

    """
    request = {'kind': kind, 'pool': pool, **asdict(options)}
    headers = {'idempotency-key': key} if key else {}
    session.show(session.connect().send('POST', '/v1/jobs', request, headers))


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
    """Cancel jobs with one call."""
    request = {'job_ids': job_ids}
    session.show(session.connect().send('POST', '/v1/jobs/cancel', request))


@application.command
def trace(
    job_id: str,
    *files: Path,
    as_json: Annotated[bool, cyclopts.Parameter(name='--json')] = False,
) -> None:
    """Trace a job through the logs of several daemons.

    Parameters
    ----------
    job_id
        The id of the job.
    files
        Log files; a file may hold the lines of several daemons.
    as_json
        Write one JSON object per line.

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
        sys.stdout.write(_format_event(event, as_json=as_json))
    if not events:
        sys.stderr.write(f'tarragonlb: no line names job {job_id}\n')
        sys.exit(EXIT_NOTHING_FOUND)


def _format_event(event: TraceEvent, *, as_json: bool) -> str:
    if as_json:
        return f'{json.dumps(asdict(event))}\n'
    details = ' '.join(
        f'{name}={content}' for name, content in event.details.items()
    )
    return f'{event.seconds:.3f} {event.source:20} {event.sentence} {details}\n'
