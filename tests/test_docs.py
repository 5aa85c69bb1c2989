"""Guards against documentation that disagrees with the code."""

import pathlib
import re

import json5
import pytest

from sardinegauge import settings
from sardinegauge.agents import agentsettings
from sardinegauge.entries import entryapp
from sardinegauge.state import configuration, stateapp

ROOT = pathlib.Path(__file__).resolve().parents[1]
MODULE_BY_PROCESS = {"state": stateapp, "entry": entryapp, "agent": agentsettings}
METRIC_NAME = re.compile(
    r"\.?(?:histogram|counter|gauge)\(\s*\"([a-z_]+)\"", re.MULTILINE
)


def rows(page):
    """Return the cells of all table rows of a page."""
    text = (ROOT / "docs" / page).read_text(encoding="utf-8")
    return [
        [cell.strip().strip("`") for cell in line.strip("|").split("|")]
        for line in text.splitlines()
        if line.startswith("| ")
    ]


@pytest.mark.parametrize("process", MODULE_BY_PROCESS)
def test_settings_page_names_every_key_with_kind_and_default(process):
    row_by_key = {row[0]: row for row in rows("settings.md")}
    for setting in MODULE_BY_PROCESS[process].KNOWN_SETTINGS:
        row = row_by_key[setting.name]
        assert row[1] == setting.kind
        if not setting.is_required and setting.default not in ("", "entry"):
            shown = str(setting.default)
            shown = shown.lower() if isinstance(setting.default, bool) else shown
            assert row[2] == shown, setting.name


def test_settings_page_names_no_unknown_key():
    known = {
        setting.name
        for module in MODULE_BY_PROCESS.values()
        for setting in module.KNOWN_SETTINGS
    }
    named = {row[0] for row in rows("settings.md")} - {"key", "---"}
    assert named == known


def test_metrics_page_names_exactly_the_metrics_of_the_code():
    in_code = set()
    for name in (
        "entries/entrymetrics",
        "agents/agentapp",
        "state/statemetrics",
        "workflows/flowmetrics",
        "intake/intakemetrics",
    ):
        source = (ROOT / "sardinegauge" / f"{name}.py").read_text(encoding="utf-8")
        in_code.update(METRIC_NAME.findall(source))
    on_page = {row[1] for row in rows("metrics.md") if len(row) == 5}
    assert on_page - {"name", "---"} == in_code


@pytest.mark.parametrize("process", MODULE_BY_PROCESS)
def test_example_settings_are_valid(process):
    path = ROOT / "examples" / f"{process}.json"
    settings.load(str(path), MODULE_BY_PROCESS[process].KNOWN_SETTINGS)


@pytest.mark.parametrize("name", ["karri", "irbid"])
def test_example_configurations_are_valid(name):
    text = (ROOT / "examples" / f"{name}.json").read_text(encoding="utf-8")
    assert configuration.check(json5.loads(text)) == []
