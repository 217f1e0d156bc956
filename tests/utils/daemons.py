"""Helpers that run daemons of the project as child processes."""

import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

import httpx

MAX_READY_POLLS = 200  # polls before a daemon counts as failed
POLL_SECONDS = 0.1  # pause between two polls
STOP_TIMEOUT_SECONDS = 20  # time from SIGTERM to the end of the process


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@contextmanager
def run_daemon(arguments: list[str], log: Path):
    """Run ``python -m ARGUMENTS``, yield the process and end it with SIGTERM."""
    with log.open("w") as stream:
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdout=stream, stderr=subprocess.STDOUT
        )
        try:
            yield process
        finally:
            process.terminate()
            try:
                process.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                raise


def wait_ready(
    base_url: str, process: subprocess.Popen, log: Path, max_polls: int = MAX_READY_POLLS
) -> None:
    """Poll ``/readyz`` of a daemon until it succeeds, as a load balancer does."""
    for _ in range(max_polls):
        if process.poll() is not None:
            raise AssertionError(f"the daemon ended early:\n{log.read_text()}")
        try:
            if httpx.get(f"{base_url}/readyz", timeout=1).status_code == 200:
                return
        except httpx.TransportError:
            pass
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"the daemon is not ready:\n{log.read_text()}")


@contextmanager
def embedded_site(folder: Path):
    """Run the demo, which has all roles in one process, and yield its base URL."""
    port = free_port()
    log = folder / "site.log"
    with run_daemon(["chivewall.demo", "--stay", "--port", str(port)], log) as process:
        base_url = f"http://127.0.0.1:{port}"
        wait_ready(base_url, process, log)
        yield base_url


def wait_live(base_url: str) -> None:
    """Poll the status of an entry until all its endpoints are live."""
    for _ in range(MAX_READY_POLLS):
        status = httpx.get(f"{base_url}/operator/status", timeout=5).json()
        states = {one["state"] for one in status["endpoints"]}
        if states == {"live"}:
            return
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"endpoints of {base_url} are not live: {states}")
