"""Guards against commands lost when processes of replicas are killed or frozen."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys

import pytest

from sardinegauge import commands, outcome
from sardinegauge.links import messages, stateclient
from tests import statefleet

ROOT = pathlib.Path(__file__).parent.parent


class Processes:
    """Three replicas as processes, each stopped by its own process id."""

    def __init__(self, path):
        self.path = path
        self.by_name = {}
        self.address_by_name = dict(zip("abc", statefleet.free_addresses(3)))
        addresses = list(self.address_by_name.values())
        self.client = stateclient.StateClient(addresses, messages.Hello(role="entry"))
        for name, address in self.address_by_name.items():
            config = {
                "name": name,
                "listen": address,
                "data_dir": str(path / name),
                "peers": addresses,
                "initial_members": self.address_by_name,
            }
            (path / f"{name}.json").write_text(json.dumps(config))

    def command(self, name, *words):
        settings = str(self.path / f"{name}.json")
        return [
            sys.executable, "-m", "tests.stateprocess", *words, "--settings", settings
        ]  # fmt: skip

    def init(self, name):
        return subprocess.run(self.command(name, "init"), cwd=ROOT, timeout=30)

    def start(self, name):
        with open(self.path / f"{name}.log", "ab") as log:
            self.by_name[name] = subprocess.Popen(
                self.command(name), cwd=ROOT, stdout=log, stderr=log
            )

    def stop_all(self):
        self.client.stop()
        for process in self.by_name.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()

    async def submit(self, name):
        job = commands.SubmitJob(
            operator="op",
            request_id=name,
            name=name,
            tenant="karri",
            cores=1.0,
            memory_mb=1,
        )
        answer = None
        while not isinstance(answer, outcome.Answered):
            answer = await self.client.propose(job, 20)
            assert not isinstance(answer, outcome.Refused), answer

    async def leader(self):
        answer = await self.client.query("members", {}, 20)
        members = answer.value["members"]
        return next(member["name"] for member in members if member["is_leader"])


@pytest.fixture
def processes(tmp_path):
    group = Processes(tmp_path)
    for name in "abc":
        assert group.init(name).returncode == 0
    yield group
    group.stop_all()


def run(processes, scenario):
    async def main():
        for name in "abc":
            processes.start(name)
        processes.client.start()
        await scenario()

    asyncio.run(main())


def test_kills_and_freezes_of_leaders_lose_no_command(processes):
    async def scenario():
        expected = []
        for number, number_of_signal in enumerate(
            (signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM)
        ):
            expected.append(f"job{number}")
            await processes.submit(expected[-1])
            name = await processes.leader()
            process = processes.by_name[name]
            process.send_signal(number_of_signal)
            expected.append(f"job{number}b")
            await processes.submit(expected[-1])
            # A process may answer requests that it read before the signal.
            async with asyncio.timeout(10):
                while await processes.leader() == name:
                    await asyncio.sleep(0.02)
            if number_of_signal == signal.SIGSTOP:
                process.send_signal(signal.SIGCONT)
            else:
                status = await asyncio.to_thread(process.wait, 20)
                assert status == (-9 if number_of_signal == signal.SIGKILL else 0)
                processes.start(name)
        answer = await processes.client.query("jobs", {}, 20)
        assert answer.value["jobs"] == expected

    run(processes, scenario)


def test_init_refuses_a_folder_in_use(processes):
    assert processes.init("a").returncode == 1


def test_damage_ends_the_process_and_names_file_and_offset(processes):
    (segment,) = (processes.path / "a" / "log").iterdir()
    data = bytearray(segment.read_bytes())
    data[3] ^= 1
    segment.write_bytes(data)
    ended = subprocess.run(
        processes.command("a"), cwd=ROOT, timeout=30, capture_output=True
    )
    assert ended.returncode == 3
    assert f"{segment}: offset 0" in ended.stderr.decode()
    assert segment.read_bytes() == bytes(data)
    assert os.listdir(processes.path / "a" / "log") == [segment.name]
