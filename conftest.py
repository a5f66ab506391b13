"""Make every run of the property tests the same."""

import hypothesis

hypothesis.settings.register_profile(
    'same-every-run',
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=True,
)
hypothesis.settings.load_profile('same-every-run')
