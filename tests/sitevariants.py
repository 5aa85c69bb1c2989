"""Writes variants of a site file of the users' bench into a folder, to hunt on.

    python -m tests.sitevariants SITE FOLDER

Deployments that nobody has seen are served too, so each variant uses features that the
site leaves out: workers that guard their room, gangs, schedules, data near a rack,
labels, and other numbers of machines.
"""

import pathlib
import re
import sys


def guarded(text):
    """Workers refuse what does not fit."""
    return text.replace("guards = false", "guards = true")


def gangs(text):
    """A part of the batch steps are gangs."""
    return re.sub(r"gang = 0\.0", "gang = 0.5", text)


def scheduled(text):
    """A part of the jobs run on a schedule."""
    return re.sub(r"timed = 0\.0", "timed = 0.4", text)


def located(text):
    """Steps have data in a rack, or need a kind of worker."""
    text = re.sub(r"near = 0\.0", "near = 0.4", text)
    text = re.sub(r"needs = 0\.0", "needs = 0.3", text)
    return text.replace('kinds = ["a"]', 'kinds = ["a", "b"]')


def mixed(text):
    """All of it together, with fewer machines at the side."""
    text = scheduled(gangs(located(guarded(text))))
    return re.sub(r"count = 4, app", "count = 3, app", text)


def advised(text):
    """A service decides which workers may run a step."""
    return text.replace("uneven = ", "advice = {}, uneven = ")


def wide(text):
    """More machines at the side, and enough room for gangs everywhere."""
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
    # The site names its wire file beside itself.
    (folder / "wire.json").write_bytes((site.parent / "wire.json").read_bytes())
    return 0


if __name__ == "__main__":
    sys.exit(main())
