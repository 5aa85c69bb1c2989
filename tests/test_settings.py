"""Guards against settings errors that are not reported, or only one at a time."""

import pytest

from sardinegauge import errors, settings

KNOWN = [
    settings.Setting(name="name", kind="text"),
    settings.Setting(name="listen", kind="address"),
    settings.Setting(name="peers", kind="addresses", default=[]),
    settings.Setting(name="limit", kind="integer", default=3, minimum=1, maximum=9),
]


def test_all_problems_are_listed_with_their_paths(tmp_path):
    path = tmp_path / "demo.json"
    path.write_text('{"listn": "x", "peers": ["127.0.0.1:1", 3], "limit": 0} // end')
    with pytest.raises(errors.SettingsError) as caught:
        settings.load(str(path), KNOWN)
    assert caught.value.problems == [
        "listn: unknown key; did you mean listen?",
        "name: missing, and it has no default",
        "listen: missing, and it has no default",
        "peers[1]: must be text",
        "limit: must be at least 1",
    ]
    assert caught.value.exit_status == 2


def test_comments_and_defaults(tmp_path):
    path = tmp_path / "demo.json"
    path.write_text('// who\n{"name": "a", /* where */ "listen": "127.0.0.1:80"}')
    loaded = settings.load(str(path), KNOWN)
    assert (loaded.name, loaded.limit) == ("a", 3)
