from sycamoreferry_core import clock, ids, membership

NAMES = tuple(ids.InstanceId(f'i{number:02}') for number in range(70))
NOW = clock.Millis(0)


def _miss(
    history: membership.ProbeHistory,
    instance: ids.InstanceId,
    times: int,
) -> membership.ProbeHistory:
    for _ in range(times):
        history = membership.note_probe(history, instance, answered=False)
    return history


def test_every_instance_is_probed_in_a_sweep() -> None:
    history = membership.ProbeHistory()
    probed: set[ids.InstanceId] = set()
    for _ in range(membership.ROUNDS_PER_SWEEP):
        for instance in membership.choose_probed(history, NAMES):
            probed.add(instance)
            history = membership.note_probe(history, instance, answered=True)
    assert probed == set(NAMES)


def test_suspects_are_probed_in_every_round() -> None:
    history = _miss(membership.ProbeHistory(), NAMES[50], 1)
    history = membership.note_probe(history, NAMES[3], answered=True)
    probed = membership.choose_probed(history, NAMES)
    assert probed == (NAMES[50], NAMES[4], NAMES[5], NAMES[6])


def test_lost_after_three_misses_in_a_row() -> None:
    history = _miss(membership.ProbeHistory(), NAMES[0], 2)
    assert not membership.find_lost(history, NAMES, (), NOW)
    history = _miss(history, NAMES[0], 1)
    assert membership.find_lost(history, NAMES, (), NOW) == (NAMES[0],)
    history = membership.note_probe(history, NAMES[0], answered=True)
    assert not membership.find_lost(history, NAMES, (), NOW)


def test_term_holders_and_unjoined_instances_are_not_removed() -> None:
    history = _miss(membership.ProbeHistory(), NAMES[0], 5)
    assert not membership.find_lost(history, NAMES, NAMES[:1], NOW)
    assert not membership.find_lost(history, NAMES[1:], (), NOW)


def test_rejoined_instance_is_not_removed_during_cooldown() -> None:
    history = membership.note_removal(membership.ProbeHistory(), NAMES[0], NOW)
    history = _miss(history, NAMES[0], 5)
    assert not membership.find_lost(history, NAMES, (), clock.Millis(1))
    late = clock.Millis(membership.REMOVAL_COOLDOWN_MS)
    assert membership.find_lost(history, NAMES, (), late) == (NAMES[0],)
    assert not membership.note_removal(history, NAMES[1], late).misses.get(
        NAMES[1],
    )
