"""Writes variants of a site file of the users' benchmark, to search for faults on.

    python -m tests.sitevariants SITE FOLDER

The system must also serve deployments other than the known sites, so each variant uses
features that the site leaves out: workers that enforce their capacity, gangs,
schedules, data near a rack, labels, and other numbers of machines. The names of the
variants' functions are the endings of the names of the files.
"""

import pathlib
import re
import sys


def guarded(text):
    """Make workers refuse a task that does not fit into their free capacity."""
    return text.replace("guards = false", "guards = true")


def gangs(text):
    """Make a part of the batch steps gangs."""
    return re.sub(r"gang = 0\.0", "gang = 0.5", text)


def scheduled(text):
    """Make a part of the jobs run on a schedule."""
    return re.sub(r"timed = 0\.0", "timed = 0.4", text)


def located(text):
    """Give some steps data near a rack, and some a required kind of worker."""
    text = re.sub(r"near = 0\.0", "near = 0.4", text)
    text = re.sub(r"needs = 0\.0", "needs = 0.3", text)
    return text.replace('kinds = ["a"]', 'kinds = ["a", "b"]')


def mixed(text):
    """Combine all variants above, with fewer machines in the groups that run an app."""
    text = scheduled(gangs(located(guarded(text))))
    return re.sub(r"count = 4, app", "count = 3, app", text)


def advised(text):
    """Let an advice service decide which workers may run a step."""
    return text.replace("uneven = ", "advice = {}, uneven = ")


def wide(text):
    """Add machines to the groups that run an app, so that gangs fit everywhere."""
    return gangs(re.sub(r"count = ([34]), app", r"count = 6, app", text))


VARIANTS = (guarded, gangs, scheduled, located, mixed, advised, wide)


def main():
    """Write all variants; return the exit status."""
    site, folder = (pathlib.Path(argument) for argument in sys.argv[1:3])
    folder.mkdir(parents=True, exist_ok=True)
    text = site.read_text(encoding="utf-8")
    for variant in VARIANTS:
        name = f"{site.stem}-{variant.__name__}"
        changed = variant(text).replace(f'name = "{site.stem}"', f'name = "{name}"', 1)
        (folder / f"{name}.toml").write_text(changed, encoding="utf-8")
    # The site file refers to `wire.json` in its own folder.
    (folder / "wire.json").write_bytes((site.parent / "wire.json").read_bytes())
    return 0


if __name__ == "__main__":
    sys.exit(main())
