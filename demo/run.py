"""The demo: the whole path as separate processes, told step by step.

It starts a platform stand-in, endpoints and three daemons in different
availability zones, and exits non-zero if one of its steps did not happen.
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
    """A step of the demo did not happen."""


class Demo:
    """Drives one installation through the five steps."""

    def __init__(self, cluster: Cluster) -> None:
        """Drive a cluster that has started."""
        self.cluster = cluster
        self.first, self.second, self.third = cluster.addresses

    def caller(self, entry: str, token: str) -> ApiClient:
        """Return a caller at one entry VM."""
        return ApiClient(self.cluster.addresses[entry], token)

    def publish_settings(self) -> str:
        """Publish a team's settings and see them in force everywhere."""
        self._publish(TEAM_PATH, 'team-archive.yaml', version=0)
        pool_path = '/v1/settings/pools/transcription'
        self._publish(pool_path, 'pool-transcription.yaml', version=0)
        for entry in self.cluster.addresses:
            reader = self.caller(entry, OPERATOR_TOKEN)
            poll(functools.partial(_try, reader, TEAM_PATH), ACTIVATION_SECONDS)
        operator = self.caller(self.second, OPERATOR_TOKEN)
        stale = operator.put(TEAM_PATH, b'quota: {}', {'if-match': '0'})
        require(stale.status == 409, f'a stale change: {stale}')
        wrong = operator.put(TEAM_PATH, b'quota:\n  core: 1', {'if-match': '1'})
        require('/teams/archive:2' in wrong.text, f'a wrong change: {wrong}')
        return (
            'the settings of team archive are in force on 3 entry VMs; a '
            f'stale change was refused ("{stale.fields["reason"]}") and a '
            f'wrong one, too ("{wrong.fields["reason"]}")'
        )

    def serve_request(self) -> str:
        """Send an urgent request from a caller to an endpoint and back."""
        caller = self.caller(self.first, TEAM_TOKEN)
        response = poll(
            functools.partial(_try, caller, '/call/transcribe/a?mark=one'),
            ACTIVATION_SECONDS,
        )
        require(
            response.fields['mark'] == 'one', f'the wrong response: {response}'
        )
        return (
            f'{response.fields["endpoint"]} answered through {self.first}, '
            f'verdict "{response.headers["tarragon-verdict"]}"'
        )

    def run_job(self) -> str:
        """Submit a patient job and read its end through another entry VM."""
        order = {'kind': 'index', 'pool': 'transcription', 'cores': 2}
        submitter = self.caller(self.first, TEAM_TOKEN)
        accepted = submitter.post('/v1/jobs', order, {'idempotency-key': 'k1'})
        require(accepted.status == 202, f'the job was not taken: {accepted}')
        again = submitter.post('/v1/jobs', order, {'idempotency-key': 'k1'})
        job_id = accepted.fields['job_id']
        require(again.fields['job_id'] == job_id, f'a second job: {again}')
        ended = self._wait_for_job(job_id)
        return (
            f'job {job_id[:8]} was submitted through {self.first}, ran on '
            f'{ended.fields["vm_id"]}, and its end was read through '
            f'{ended.fields["entry"]}: {ended.fields["output"]}'
        )

    def run_wave(self) -> str:
        """Reboot every VM of a pool inside the team's budget."""
        operator = self.caller(self.third, OPERATOR_TOKEN)
        wave = operator.post('/v1/waves', {'pool': 'transcription'})
        require(wave.status == 200, f'the wave was not taken: {wave}')
        path = f'/v1/waves/{wave.fields["wave_id"]}'
        away = [0]
        poll(
            functools.partial(_is_finished, operator, path, away), WAVE_SECONDS
        )
        most_away = max(away)
        require(most_away <= 1, f'{most_away} VMs were away at once')
        done = operator.get(path).fields['done']
        return (
            f'{len(done)} VMs were drained, rebooted and brought back, never '
            f'more than {most_away} at once although the pool allows 2: the '
            'budget of team archive is 1'
        )

    def stop_and_kill(self) -> str:
        """Stop a daemon under a request, and kill another one."""
        answers: list[ApiResponse] = []
        path = f'/call/transcribe/b?seconds={LONG_REQUEST_SECONDS}&mark=long'
        caller = self.caller(self.first, TEAM_TOKEN)
        asking = threading.Thread(
            target=lambda: answers.append(caller.get(path))
        )
        asking.start()
        threading.Event().wait(0.5)
        self.cluster.send_signal(self.first, signal.SIGTERM)
        exit_code = self.cluster.wait_for_exit(self.first)
        asking.join()
        require(exit_code == 0, f'the daemon ended with {exit_code}')
        require(answers[0].status == 200, f'the request was cut: {answers[0]}')
        order = {'kind': 'index', 'pool': 'transcription'}
        accepted = self.caller(self.second, TEAM_TOKEN).post('/v1/jobs', order)
        require(accepted.status == 202, f'the job was not taken: {accepted}')
        self.cluster.send_signal(self.second, signal.SIGKILL)
        self.cluster.wait_for_exit(self.second)
        ended = self._wait_for_job(accepted.fields['job_id'])
        return (
            f'{self.first} was stopped and still gave the whole response '
            f'"{answers[0].fields["mark"]}"; {self.second} was killed and the '
            f'job that it had accepted ended as "{ended.fields["phase"]}"'
        )

    def _publish(self, path: str, name: str, version: int) -> None:
        operator = self.caller(self.first, OPERATOR_TOKEN)
        text = (EXAMPLES / name).read_bytes()
        response = operator.put(path, text, {'if-match': str(version)})
        require(response.status == 200, f'{name} was refused: {response}')

    def _wait_for_job(self, job_id: str) -> ApiResponse:
        reader = self.caller(self.third, TEAM_TOKEN)
        path = f'/v1/jobs/{job_id}'
        return poll(functools.partial(_try_ended, reader, path), JOB_SECONDS)


def _try(caller: ApiClient, path: str) -> ApiResponse | None:
    response = caller.get(path)
    return response if response.status == 200 else None


def _try_ended(caller: ApiClient, path: str) -> ApiResponse | None:
    response = _try(caller, path)
    return response if response and _has_ended(response) else None


def _is_finished(operator: ApiClient, path: str, away: list[int]) -> bool:
    pools = operator.get('/v1/pools').rows
    away.extend(row['unavailable'] for row in pools)
    return bool(operator.get(path).fields['status'] == 'finished')


def _has_ended(response: ApiResponse) -> bool:
    return response.fields['phase'] not in {'queued', 'started'}


def require(holds: bool, message: str) -> None:
    """Raise ``StepError`` unless something holds."""
    if not holds:
        raise StepError(message)


def tell(text: str) -> None:
    """Print one line at once."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def run_steps(demo: Demo) -> bool:
    """Run all steps, stop at the first that fails."""
    steps: tuple[Callable[[], str], ...] = (
        demo.publish_settings,
        demo.serve_request,
        demo.run_job,
        demo.run_wave,
        demo.stop_and_kill,
    )
    for number, step in enumerate(steps, start=1):
        title = (step.__doc__ or '').strip()
        tell(f'{number}. {title}')
        try:
            tell(f'   Done: {step()}.')
        except (StepError, TimeoutError, OSError) as error:
            tell(f'   FAILED: {error!r}')
            return False
    return True


def main() -> int:
    """Run the demo and return its exit code."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), make_fleet({'transcription': 4}))
        try:
            tell('Starting a platform stand-in, 4 endpoints and 3 daemons.')
            cluster.start()
            happened = run_steps(Demo(cluster))
        finally:
            cluster.stop()
    tell('All steps happened.' if happened else 'The demo FAILED.')
    return 0 if happened else 1


if __name__ == '__main__':
    sys.exit(main())
