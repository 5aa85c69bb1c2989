"""Settings of the whole test run."""

import hypothesis

# The same examples in every run, so that a run's verdict depends on the code alone.
hypothesis.settings.register_profile("repeatable", derandomize=True, deadline=None)
hypothesis.settings.load_profile("repeatable")
