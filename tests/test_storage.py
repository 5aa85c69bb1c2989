"""Tests that a restart keeps all acknowledged state and detects damaged files."""

import functools
import os

import pytest

from sardinegauge import errors
from sardinegauge.agreement import raftmessages, raftstate, segments, storage, writer

ADDRESSES = {"a": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"}


def entries(first, last, term=2, size=8):
    return [
        raftmessages.LogEntry(
            index=i, term=term, kind="command", body=b"%0*d" % (size, i)
        )
        for i in range(first, last + 1)
    ]


@pytest.fixture
def path(tmp_path):
    path = str(tmp_path / "data")
    storage.init_folder(path, "a", ADDRESSES)
    return path


def write(path, *appends, **options):
    folder, _ = storage.open_folder(path, "a")
    for batch in appends:
        folder.append(batch, **options)
    folder.sync()
    folder.close()


def load(path):
    folder, stored = storage.open_folder(path, "a")
    folder.close()
    return stored


def indexes(stored):
    return [entry.index for entry in stored.log.entries]


def files(path):
    found = {}
    for root, _, names in os.walk(path):
        for name in names:
            with open(os.path.join(root, name), "rb") as file:
                found[os.path.join(root, name)] = file.read()
    return found


def segment_file(path, number=0):
    folder = os.path.join(path, "log")
    return os.path.join(folder, sorted(os.listdir(folder))[number])


def test_all_synced_state_is_loaded(path):
    folder, _ = storage.open_folder(path, "a")
    folder.save_hard_state(7, "b")
    folder.append(entries(2, 9), acknowledged={"b": 5})
    folder.append(entries(6, 7, term=7), truncate_from=6)
    folder.sync()
    folder.close()
    stored = load(path)
    assert (stored.term, stored.vote) == (7, "b")
    assert [entry.term for entry in stored.log.entries] == [1, 2, 2, 2, 2, 7, 7]
    assert stored.acknowledged == {"b": 5}
    assert stored.log.entries[0].kind == "members"


def test_truncation_in_the_last_record_loses_only_that_record(path):
    write(path, entries(2, 4))
    before = os.path.getsize(segment_file(path))
    write(path, entries(5, 5))
    name = segment_file(path)
    with open(name, "rb") as file:
        whole = file.read()
    for size in range(before, len(whole)):
        with open(name, "wb") as file:
            file.write(whole[:size])
        assert indexes(load(path)) == [1, 2, 3, 4]
        write(path, entries(5, 6))
        assert indexes(load(path)) == [1, 2, 3, 4, 5, 6]


def test_damage_is_truncated_after_the_last_sync_and_refused_before(path):
    write(path, entries(2, 5))
    last_record = os.path.getsize(segment_file(path))
    write(path, entries(6, 6))
    name = segment_file(path)
    with open(name, "rb") as file:
        whole = file.read()
    for offset in range(len(whole)):
        for flip in (0x01, 0x80, 0xFF):
            damaged = bytearray(whole)
            damaged[offset] ^= flip
            with open(name, "wb") as file:
                file.write(damaged)
            if offset >= last_record:
                assert indexes(load(path)) == [1, 2, 3, 4, 5]
                continue
            before = files(path)
            with pytest.raises(errors.DataFolderError) as caught:
                load(path)
            assert caught.value.file == name
            assert caught.value.offset <= offset
            assert f"offset {caught.value.offset}" in str(caught.value)
            assert files(path) == before


def test_damage_in_an_older_segment_is_refused(path, monkeypatch):
    monkeypatch.setattr(segments, "SEGMENT_BYTES", 200)
    write(path, entries(2, 40))
    name = segment_file(path, 1)
    with open(name, "r+b") as file:
        file.seek(-1, os.SEEK_END)
        file.write(b"\x00")
    with pytest.raises(errors.DataFolderError) as caught:
        load(path)
    assert caught.value.file == name


def test_missing_segment_is_refused(path, monkeypatch):
    monkeypatch.setattr(segments, "SEGMENT_BYTES", 200)
    write(path, entries(2, 40))
    os.unlink(segment_file(path, 1))
    with pytest.raises(errors.DataFolderError, match="is missing"):
        load(path)


@pytest.mark.parametrize("name", ["identity", "hardstate", "snapshots"])
def test_damage_of_whole_files_is_refused_at_every_offset(path, name):
    folder, _ = storage.open_folder(path, "a")
    folder.append(entries(2, 5))
    folder.save_snapshot(4, 2, b"\x02\x00\x00\x00[]machine")
    folder.close()
    target = os.path.join(path, name)
    if name == "snapshots":
        target = os.path.join(target, os.listdir(target)[0])
    with open(target, "rb") as file:
        whole = file.read()
    for offset in range(len(whole)):
        damaged = bytearray(whole)
        damaged[offset] ^= 0x10
        for data in (damaged, whole[:offset]):
            with open(target, "wb") as file:
                file.write(data)
            with pytest.raises(errors.DataFolderError) as caught:
                load(path)
            assert caught.value.file == target


@pytest.mark.parametrize("name", ["identity", "hardstate", "log", "snapshots"])
def test_missing_part_is_refused(path, name):
    target = os.path.join(path, name)
    if os.path.isdir(target):
        for item in os.listdir(target):
            os.unlink(os.path.join(target, item))
        os.rmdir(target)
    else:
        os.unlink(target)
    before = files(path)
    with pytest.raises(errors.DataFolderError):
        load(path)
    assert files(path) == before


def test_empty_folder_gets_a_new_identity_once(tmp_path):
    path = str(tmp_path / "data")
    folder, stored = storage.open_folder(path, "a")
    identity = folder.identity
    folder.close()
    assert identity.startswith("a-") and stored.log.last_index == 0
    folder, _ = storage.open_folder(path, "a")
    assert folder.identity == identity
    with pytest.raises(errors.UserError, match="in use"):
        storage.open_folder(path, "a")
    folder.close()
    with pytest.raises(errors.UserError, match="already"):
        storage.init_folder(path, "a", ADDRESSES)


def test_crash_during_creation_leaves_a_usable_folder(tmp_path, monkeypatch):
    """Fail each file operation of the creation in turn, then open the folder again."""
    steps = 0
    is_created = False
    while not is_created:
        steps += 1
        path = str(tmp_path / str(steps))
        remaining = steps

        def crash(call, *arguments):
            nonlocal remaining
            remaining -= 1
            if not remaining:
                raise OSError("power cut")
            return call(*arguments)

        with monkeypatch.context() as patch:
            for name in ("rename", "unlink", "open"):
                patch.setattr(os, name, functools.partial(crash, getattr(os, name)))
            try:
                storage.open_folder(path, "a")[0].close()
                is_created = True
            except (OSError, errors.UserError):
                pass
        folder, stored = storage.open_folder(path, "a")
        assert folder.identity and stored.log.last_index == 0
        folder.close()
    assert steps > 10


def test_segments_rotate_and_compact(path, monkeypatch):
    monkeypatch.setattr(segments, "SEGMENT_BYTES", 200)
    write(path, entries(2, 40), acknowledged={"b": 3})
    folder, _ = storage.open_folder(path, "a")
    folder.save_snapshot(30, 2, b"\x02\x00\x00\x00[]machine")
    folder.segments.compact_to(25)
    folder.close()
    stored = load(path)
    assert stored.snapshot.index == 30
    assert stored.acknowledged == {"b": 3}
    assert 1 < stored.log.base_index <= 25
    assert stored.log.base_term == 2
    assert stored.log.last_index == 40


def test_crash_between_snapshot_and_log_reset_drops_the_old_log(path):
    write(path, entries(2, 9, term=2))
    folder, _ = storage.open_folder(path, "a")
    folder.save_snapshot(5, 3, b"\x02\x00\x00\x00[]machine")
    folder.close()
    stored = load(path)
    assert (stored.log.last_index, stored.log.last_term) == (5, 3)
    write(path, entries(6, 7, term=3))
    assert indexes(load(path)) == [6, 7]


def test_set_aside_keeps_the_old_files_and_is_finished_after_a_crash(path):
    folder, _ = storage.open_folder(path, "a")
    rename = os.rename
    moved = []

    def crash(source, target):
        if not source.endswith(".tmp"):
            if moved:
                raise OSError("power cut")
            moved.append(source)
        rename(source, target)

    os.rename = crash
    try:
        with pytest.raises(OSError, match="power cut"):
            folder.set_aside()
    finally:
        os.rename = rename
    folder.close()
    folder, stored = storage.open_folder(path, "a")
    assert folder.identity != "a"
    assert stored.log.last_index == 0
    (aside,) = [name for name in os.listdir(path) if name.startswith("aside-")]
    assert sorted(os.listdir(os.path.join(path, aside))) == [
        "hardstate",
        "identity",
        "log",
        "snapshots",
    ]
    folder.close()


def persist(sequence, batch, **fields):
    return raftstate.Persist(
        sequence=sequence,
        term=fields.get("term", 2),
        vote="",
        truncate_from=0,
        entries=batch,
        acknowledged=None,
    )


def test_writes_share_one_fsync_and_report_after_it(path, monkeypatch):
    folder, _ = storage.open_folder(path, "a")
    syncs = []
    done = []
    monkeypatch.setattr(folder, "sync", lambda: syncs.append(len(done)))
    thread = writer.Writer(folder, done.append, pytest.fail)
    for number in range(50):
        thread.put(persist(number + 1, entries(number + 2, number + 2)))
    thread.start()
    thread.stop()
    folder.close()
    assert done == [50]
    assert syncs == [0]


def test_failed_write_is_reported_and_nothing_acknowledged(path, monkeypatch):
    folder, _ = storage.open_folder(path, "a")
    failed = []

    def fail():
        raise OSError("disk full")

    monkeypatch.setattr(folder, "sync", fail)
    thread = writer.Writer(folder, pytest.fail, failed.append)
    thread.start()
    thread.put(persist(1, entries(2, 2)))
    thread.stop()
    folder.close()
    assert str(failed[0]) == "disk full"


def test_gap_in_the_writes_after_the_last_sync_is_a_torn_tail(path):
    """A power failure before a sync may keep a later write and lose an earlier one."""
    write(path, entries(2, 4))
    name = segment_file(path)
    synced = os.path.getsize(name)
    folder, _ = storage.open_folder(path, "a")
    folder.append(entries(5, 5))
    first = os.path.getsize(name)
    folder.append(entries(6, 8))
    folder.segments.close()
    folder.close()
    with open(name, "r+b") as file:
        file.seek(synced)
        file.write(bytes(first - synced))
    assert indexes(load(path)) == [1, 2, 3, 4]
    write(path, entries(5, 5))
    assert indexes(load(path)) == [1, 2, 3, 4, 5]


def test_opening_syncs_the_entries_that_a_killed_process_wrote(path, monkeypatch):
    """Entries read at start count as durable, but a killed process may not have synced.

    Opening the folder must sync them before they are acknowledged.
    """
    folder, _ = storage.open_folder(path, "a")
    folder.append(entries(2, 3))
    folder.close()
    synced = []
    monkeypatch.setattr(segments.os, "fsync", synced.append)
    folder, stored = storage.open_folder(path, "a")
    assert indexes(stored) == [1, 2, 3]
    assert folder.segments._descriptor in synced
    folder.close()
