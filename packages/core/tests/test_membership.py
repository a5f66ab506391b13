from sycamoreferry_core import clock, ids, membership

NAMES = tuple(ids.InstanceId(f'i{number:02}') for number in range(70))
NOW = clock.Millis(0)


def _miss(
    watch: membership.Watch,
    instance: ids.InstanceId,
    times: int,
) -> membership.Watch:
    for _ in range(times):
        watch = membership.note_probe(watch, instance, answered=False)
    return watch


def test_every_instance_is_probed_in_a_sweep() -> None:
    watch = membership.Watch()
    probed: set[ids.InstanceId] = set()
    for _ in range(membership.ROUNDS_PER_SWEEP):
        for instance in membership.choose_asked(watch, NAMES):
            probed.add(instance)
            watch = membership.note_probe(watch, instance, answered=True)
    assert probed == set(NAMES)


def test_suspects_are_probed_in_every_round() -> None:
    watch = _miss(membership.Watch(), NAMES[50], 1)
    watch = membership.note_probe(watch, NAMES[3], answered=True)
    probed = membership.choose_asked(watch, NAMES)
    assert probed == (NAMES[50], NAMES[4], NAMES[5], NAMES[6])


def test_lost_after_three_misses_in_a_row() -> None:
    watch = _miss(membership.Watch(), NAMES[0], 2)
    assert not membership.find_lost(watch, NAMES, (), NOW)
    watch = _miss(watch, NAMES[0], 1)
    assert membership.find_lost(watch, NAMES, (), NOW) == (NAMES[0],)
    watch = membership.note_probe(watch, NAMES[0], answered=True)
    assert not membership.find_lost(watch, NAMES, (), NOW)


def test_term_holders_and_unjoined_instances_are_not_removed() -> None:
    watch = _miss(membership.Watch(), NAMES[0], 5)
    assert not membership.find_lost(watch, NAMES, NAMES[:1], NOW)
    assert not membership.find_lost(watch, NAMES[1:], (), NOW)


def test_rejoined_instance_is_not_removed_during_cooldown() -> None:
    watch = membership.note_removal(membership.Watch(), NAMES[0], NOW)
    watch = _miss(watch, NAMES[0], 5)
    assert not membership.find_lost(watch, NAMES, (), clock.Millis(1))
    late = clock.Millis(membership.SPARED_MS)
    assert membership.find_lost(watch, NAMES, (), late) == (NAMES[0],)
    assert not membership.note_removal(watch, NAMES[1], late).misses.get(
        NAMES[1],
    )
