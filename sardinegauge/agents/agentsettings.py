"""Settings of the agent process, and the command line that names their file."""

import getopt

from sardinegauge import errors, settings
from sardinegauge.agents import agentevents
from sardinegauge.links import messages

USAGE = "usage: sardinegauge-agent --settings FILE"

KNOWN_SETTINGS = [
    *settings.LINKS,
    *settings.PROCESS,
    settings.Setting(name="rack", kind="text", default=""),
    settings.Setting(name="state", kind="addresses"),
    settings.Setting(name="upstream", kind="address"),
    settings.Setting(name="worker", kind="address", default=""),
    settings.Setting(name="services", kind="texts", default=[]),
    settings.Setting(name="cores", kind="number", default=0, minimum=0),
    settings.Setting(name="memory_mb", kind="integer", default=0, minimum=0),
    settings.Setting(name="accelerators", kind="integer", default=0, minimum=0),
    settings.Setting(name="task_slots", kind="integer", default=8, minimum=0),
    settings.Setting(name="connections", kind="integer", default=64, minimum=1),
    settings.Setting(name="queue", kind="integer", default=32, minimum=0, maximum=1024),
    settings.Setting(name="leaving", kind="flag", default=False),
]


def load(path):
    """Return the settings from a file; see `settings.load`."""
    return settings.load(path, KNOWN_SETTINGS)


def make_identity(loaded, incarnation):
    """Return what an incarnation of the agent announces of itself and its upstream.

    An agent without a worker offers no room for tasks.
    """
    return agentevents.Identity(
        upstream=loaded.name,
        incarnation=incarnation,
        address=loaded.advertise or loaded.listen,
        failure_domain=loaded.failure_domain,
        rack=loaded.rack,
        services=loaded.services,
        room=messages.Room(
            cores=float(loaded.cores),
            memory_mb=loaded.memory_mb,
            accelerators=loaded.accelerators,
            tasks=loaded.task_slots if loaded.worker else 0,
            connections=loaded.connections,
        ),
    )


def parse_path(arguments):
    """Return the path of the settings file from the command line's arguments.

    Raises
    ------
    UsageError
        If the arguments are not understood.
    """
    # argparse would use 0.7 MB, and typer 5 MB, of the agent's memory budget of 32 MB.
    try:
        options, rest = getopt.getopt(arguments, "", ["settings="])
    except getopt.GetoptError as error:
        raise errors.UsageError(f"{error}; {USAGE}") from error
    if rest or not options:
        raise errors.UsageError(USAGE)
    return options[-1][1]
