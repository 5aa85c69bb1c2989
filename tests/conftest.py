"""Settings of Hypothesis for all tests."""

import hypothesis

# The same examples in every run, so that the result depends on the code alone.
hypothesis.settings.register_profile("repeatable", derandomize=True, deadline=None)
hypothesis.settings.load_profile("repeatable")
