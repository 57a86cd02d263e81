"""A randomized fault soak: real processes over loopback, overlapping faults, and a check of the rules.

`python -m tests.soak --front platform --seeds 1-50` plays one run for each seed; see `__main__`.
"""
