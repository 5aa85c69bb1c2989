"""Guards against serving tasks that stay over their target beside fillers."""

from sardinegauge.workflows import sharing

TARGET_MS = 50
REPORT_MS = 300
HARM_MS = 4000


def test_fillers_stand_still_beside_a_task_that_suffers_whatever_was_learned():
    """Load pattern: a serving task whose own load swings while fillers run beside it.

    Estimates from calm seconds took the fillers for harmless, and they went on at full
    pace beside a task that was over its target for 4.5 s.
    """
    model = sharing.Sharing()
    fillers = [sharing.Filler(("f", n), "calm", 0.1, 0.1) for n in range(4)]
    for number in range(40):
        model.observe("a", [(("s", 1), "web", 15.0, TARGET_MS)], fillers, 300 * number)
    now_ms = begun_ms = 40 * REPORT_MS
    assert set(model.paces("a", fillers, now_ms).values()) == {100}
    while any(model.paces("a", fillers, now_ms).values()):
        assert now_ms - begun_ms < HARM_MS / 2
        now_ms += REPORT_MS
        model.observe("a", [(("s", 1), "web", 55.0, TARGET_MS)], fillers, now_ms)
    model.observe("a", [(("s", 1), "web", 20.0, TARGET_MS)], fillers, now_ms + 300)
    assert any(model.paces("a", fillers, now_ms + 300).values())


def test_short_excess_leaves_the_paces_to_the_estimates():
    model = sharing.Sharing()
    fillers = [sharing.Filler(("f", 1), "calm", 0.1, 0.1)]
    for number in range(40):
        latency_ms = 52.0 if number % 10 == 0 else 15.0
        model.observe(
            "a", [(("s", 1), "web", latency_ms, TARGET_MS)], fillers, 300 * number
        )
    assert model.paces("a", fillers, 40 * REPORT_MS) == {("f", 1): 100}
