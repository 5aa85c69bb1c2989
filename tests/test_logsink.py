"""Guards against log output that blocks the process or floods the reader."""

import os

from sardinegauge import logsink


def test_full_pipe_drops_lines_and_says_so():
    reader, writer = os.pipe()
    sink = logsink.Sink(writer)
    line = "x" * 999 + "\n"
    for _ in range(2000):
        sink.write(line)
    assert sink.dropped > 0
    drained = 0
    os.set_blocking(reader, False)
    while drained < 10:
        try:
            data = os.read(reader, 1 << 20)
        except BlockingIOError:
            sink.write("last\n")
            drained += 1
            continue
        if b"log_lines_dropped" in data:
            break
    assert drained < 10
    os.close(reader)
    sink.write("nobody reads\n")
    os.close(writer)


def test_flood_of_one_event_is_counted_instead_of_written(monkeypatch):
    reader, writer = os.pipe()
    monkeypatch.setattr(logsink, "_sink", logsink.Sink(writer))
    monkeypatch.setattr(logsink, "_limit", logsink.RateLimit(3))
    seconds = iter([1] * 10 + [2])
    monkeypatch.setattr(logsink.time, "monotonic", lambda: next(seconds))
    for _ in range(10):
        logsink.write_line("flood", "flood")
    logsink.write_line("other", "other")
    os.close(writer)
    with os.fdopen(reader) as file:
        lines = file.read().splitlines()
    assert lines == [
        "flood",
        "flood",
        "flood",
        "event='log_lines_suppressed' of='flood' lines=7",
        "other",
    ]
