"""Demo that runs a small installation as separate processes.

It starts a platform stand-in, endpoints and a daemon in each of three
availability zones, prints the result of each step, and exits non-zero if a
step fails.
"""

import functools
import signal
import sys
import tempfile
import threading
from collections.abc import Callable
from pathlib import Path

from tarragonlb.standin.apiclient import ApiClient, ApiResponse, poll
from tarragonlb.standin.cluster import OPERATOR_TOKEN, Cluster, make_fleet

EXAMPLES = Path(__file__).parent.parent / 'examples' / 'demo'
TEAM_TOKEN = 'demo-archive'
TEAM_PATH = '/v1/settings/teams/archive'
LONG_REQUEST_SECONDS = 3
WAVE_SECONDS = 60
JOB_SECONDS = 20
ACTIVATION_SECONDS = 18


class StepError(Exception):
    """A step of the demo failed."""


class Demo:
    """Runs the five steps of the demo on a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        """Use a cluster that is running."""
        self.cluster = cluster
        self.first, self.second, self.third = cluster.addresses

    def make_client(self, entry: str, token: str) -> ApiClient:
        """Return a client of an entry VM."""
        return ApiClient(self.cluster.addresses[entry], token)

    def publish_settings(self) -> str:
        """Publish a team's settings and wait until all entry VMs use them."""
        self._publish(TEAM_PATH, 'team-archive.yaml', version=0)
        pool_path = '/v1/settings/pools/transcription'
        self._publish(pool_path, 'pool-transcription.yaml', version=0)
        for entry in self.cluster.addresses:
            reader = self.make_client(entry, OPERATOR_TOKEN)
            poll(
                functools.partial(_get_if_ok, reader, TEAM_PATH),
                ACTIVATION_SECONDS,
            )
        operator = self.make_client(self.second, OPERATOR_TOKEN)
        stale = operator.put(TEAM_PATH, b'quota: {}', {'if-match': '0'})
        require(stale.status == 409, f'a stale change was not refused: {stale}')
        invalid = operator.put(
            TEAM_PATH, b'quota:\n  core: 1', {'if-match': '1'}
        )
        require(
            '/teams/archive:2' in invalid.text,
            f'the refusal does not name the line: {invalid}',
        )
        return (
            'the settings of team archive are active on 3 entry VMs; a '
            f'stale change was refused ("{stale.fields["reason"]}") and an '
            f'invalid one, too ("{invalid.fields["reason"]}")'
        )

    def serve_request(self) -> str:
        """Send an urgent request through an entry VM to an endpoint."""
        client = self.make_client(self.first, TEAM_TOKEN)
        response = poll(
            functools.partial(
                _get_if_ok, client, '/call/transcribe/a?mark=one'
            ),
            ACTIVATION_SECONDS,
        )
        require(
            response.fields['mark'] == 'one',
            f'the response has the wrong mark: {response}',
        )
        return (
            f'{response.fields["endpoint"]} answered through {self.first}, '
            f'verdict "{response.headers["tarragon-verdict"]}"'
        )

    def run_job(self) -> str:
        """Submit a patient job and read its result through another entry VM."""
        job = {'kind': 'index', 'pool': 'transcription', 'cores': 2}
        submitter = self.make_client(self.first, TEAM_TOKEN)
        accepted = submitter.post('/v1/jobs', job, {'idempotency-key': 'k1'})
        require(accepted.status == 202, f'the job was not accepted: {accepted}')
        again = submitter.post('/v1/jobs', job, {'idempotency-key': 'k1'})
        job_id = accepted.fields['job_id']
        require(
            again.fields['job_id'] == job_id,
            f'the repeated request created a second job: {again}',
        )
        ended = self._wait_for_job(job_id)
        return (
            f'job {job_id[:8]} was submitted through {self.first}, ran on '
            f'{ended.fields["vm_id"]}, and its result was read through '
            f'{ended.fields["entry"]}: {ended.fields["output"]}'
        )

    def run_wave(self) -> str:
        """Reboot every VM of a pool within the team's budget."""
        operator = self.make_client(self.third, OPERATOR_TOKEN)
        wave = operator.post('/v1/waves', {'pool': 'transcription'})
        require(wave.status == 200, f'the wave was not accepted: {wave}')
        path = f'/v1/waves/{wave.fields["wave_id"]}'
        unavailable = [0]
        poll(
            functools.partial(_is_finished, operator, path, unavailable),
            WAVE_SECONDS,
        )
        peak = max(unavailable)
        require(
            peak <= 1,
            f'{peak} VMs were unavailable at once',
        )
        done = operator.get(path).fields['done']
        return (
            f'{len(done)} VMs were drained, rebooted and brought back, never '
            f'more than {peak} at once although the pool allows 2: the '
            'budget of team archive is 1'
        )

    def stop_and_kill(self) -> str:
        """Stop a daemon during a request, and kill another one."""
        responses: list[ApiResponse] = []
        path = f'/call/transcribe/b?seconds={LONG_REQUEST_SECONDS}&mark=long'
        client = self.make_client(self.first, TEAM_TOKEN)
        sender = threading.Thread(
            target=lambda: responses.append(client.get(path))
        )
        sender.start()
        threading.Event().wait(0.5)
        self.cluster.send_signal(self.first, signal.SIGTERM)
        exit_code = self.cluster.wait_for_exit(self.first)
        sender.join()
        require(exit_code == 0, f'the daemon exited with {exit_code}')
        require(
            responses[0].status == 200, f'the request failed: {responses[0]}'
        )
        job = {'kind': 'index', 'pool': 'transcription'}
        accepted = self.make_client(self.second, TEAM_TOKEN).post(
            '/v1/jobs', job
        )
        require(accepted.status == 202, f'the job was not accepted: {accepted}')
        self.cluster.send_signal(self.second, signal.SIGKILL)
        self.cluster.wait_for_exit(self.second)
        ended = self._wait_for_job(accepted.fields['job_id'])
        return (
            f'{self.first} was stopped and still sent the complete response '
            f'"{responses[0].fields["mark"]}"; {self.second} was killed, and '
            f'the job that it had accepted ended as "{ended.fields["phase"]}"'
        )

    def _publish(self, path: str, name: str, version: int) -> None:
        operator = self.make_client(self.first, OPERATOR_TOKEN)
        text = (EXAMPLES / name).read_bytes()
        response = operator.put(path, text, {'if-match': str(version)})
        require(response.status == 200, f'{name} was refused: {response}')

    def _wait_for_job(self, job_id: str) -> ApiResponse:
        reader = self.make_client(self.third, TEAM_TOKEN)
        path = f'/v1/jobs/{job_id}'
        return poll(functools.partial(_get_if_ended, reader, path), JOB_SECONDS)


def _get_if_ok(client: ApiClient, path: str) -> ApiResponse | None:
    response = client.get(path)
    return response if response.status == 200 else None


def _get_if_ended(client: ApiClient, path: str) -> ApiResponse | None:
    response = _get_if_ok(client, path)
    return response if response and _has_ended(response) else None


def _is_finished(
    operator: ApiClient, path: str, unavailable: list[int]
) -> bool:
    pools = operator.get('/v1/pools').rows
    unavailable.extend(row['unavailable'] for row in pools)
    return bool(operator.get(path).fields['status'] == 'finished')


def _has_ended(response: ApiResponse) -> bool:
    return response.fields['phase'] not in {'queued', 'started'}


def require(holds: bool, message: str) -> None:
    """Raise ``StepError`` with ``message`` unless ``holds`` is true."""
    if not holds:
        raise StepError(message)


def print_line(text: str) -> None:
    """Print a line without buffering."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def run_steps(demo: Demo) -> bool:
    """Run the steps and stop at the first failure.

    Return whether all steps succeeded.
    """
    steps: tuple[Callable[[], str], ...] = (
        demo.publish_settings,
        demo.serve_request,
        demo.run_job,
        demo.run_wave,
        demo.stop_and_kill,
    )
    for number, step in enumerate(steps, start=1):
        title = (step.__doc__ or '').strip()
        print_line(f'{number}. {title}')
        try:
            print_line(f'   Done: {step()}.')
        except (StepError, TimeoutError, OSError) as error:
            print_line(f'   FAILED: {error!r}')
            return False
    return True


def main() -> int:
    """Run the demo and return its exit code."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), make_fleet({'transcription': 4}))
        try:
            print_line(
                'Starting a platform stand-in, 4 endpoints and 3 daemons.'
            )
            cluster.start()
            succeeded = run_steps(Demo(cluster))
        finally:
            cluster.stop()
    print_line('All steps succeeded.' if succeeded else 'The demo FAILED.')
    return 0 if succeeded else 1


if __name__ == '__main__':
    sys.exit(main())
