"""Settings of hypothesis: the test command draws the same examples on every machine."""

from hypothesis import settings

# A deadline by the wall clock fails on a busy machine, and a database of earlier failures would
# make the verdict depend on the working copy.
settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
# Fresh examples for ``make fuzz``, which prints the seed.
settings.register_profile("fuzz", max_examples=1000, deadline=None, database=None, print_blob=True)
settings.load_profile("repeatable")
