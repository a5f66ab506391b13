"""Check how long servers of an evacuated data centre may get requests."""

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import evacuations, store_contact

LIMIT_MS = 5_000
HALF_MS = LIMIT_MS // 2
STEP_MS = 100
HERE = ids.DataCentre('here')
THERE = ids.DataCentre('there')


class _Instance:
    """Check for suspensions, and learn of evacuations, as an instance does."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.contact = store_contact.StoreContact(LIMIT_MS)
        self.known = evacuations.Evacuations(LIMIT_MS)

    def run(self, duration_ms: int, *, is_in_touch: bool = True) -> None:
        for _ in range(0, duration_ms, STEP_MS):
            self.clock.advance(STEP_MS)
            self.contact.record_check(self.clock.now(), is_in_touch=is_in_touch)

    def learn(self, data_centre: ids.DataCentre = HERE) -> bool:
        now = self.clock.now()
        return self.known.start(
            data_centre, now, is_prompt=self.contact.is_prompt(now)
        )

    def may_use_owners(self, data_centre: ids.DataCentre = HERE) -> bool:
        return self.known.may_use_owners(data_centre, self.clock.now())


@pytest.fixture
def instance() -> _Instance:
    """Return an instance that has long been in touch with the store."""
    made = _Instance()
    made.run(2 * LIMIT_MS)
    return made


def test_owners_are_used_for_half_of_the_limit(instance: _Instance) -> None:
    """Without the grace, a third of all keys would fail at once."""
    assert instance.learn()
    assert instance.known.is_evacuated(HERE)
    instance.run(HALF_MS - STEP_MS)
    assert instance.may_use_owners()
    instance.run(STEP_MS)
    assert not instance.may_use_owners()


def test_keys_are_overdue_after_the_limit(instance: _Instance) -> None:
    """Requests for keys that can't move would otherwise wait in vain."""
    instance.learn()
    instance.run(LIMIT_MS - STEP_MS)
    assert not instance.known.is_overdue(HERE, instance.clock.now())
    instance.run(STEP_MS)
    assert instance.known.is_overdue(HERE, instance.clock.now())


def test_starting_instance_uses_no_evacuated_owners() -> None:
    """Its evacuation may have begun long ago."""
    started = _Instance()
    started.run(STEP_MS)
    assert started.learn()
    assert not started.may_use_owners()


def test_instance_that_was_cut_off_uses_no_evacuated_owners(
    instance: _Instance,
) -> None:
    """It hears the others again before it learns of the evacuation."""
    instance.run(LIMIT_MS, is_in_touch=False)
    instance.run(HALF_MS - STEP_MS)
    assert instance.learn()
    assert not instance.may_use_owners()


def test_suspended_instance_waits_for_a_read_of_the_store(
    instance: _Instance,
) -> None:
    """Requests that came meanwhile would go by what it knew before."""
    asked_before = instance.clock.now()
    instance.clock.advance(HALF_MS)
    assert instance.contact.is_outdated(instance.clock.now())
    instance.run(STEP_MS)
    asked_after = instance.clock.now()
    instance.contact.record_read(asked_before)
    assert instance.contact.is_outdated(instance.clock.now())
    instance.contact.record_read(asked_after)
    assert not instance.contact.is_outdated(instance.clock.now())
    instance.learn()
    assert not instance.may_use_owners()


def test_instance_without_the_store_goes_on_after_a_suspension(
    instance: _Instance,
) -> None:
    """It would reject all requests while the store is down."""
    instance.clock.advance(HALF_MS)
    instance.run(2_000, is_in_touch=False)
    assert not instance.contact.is_outdated(instance.clock.now())


def test_two_data_centres_have_times_of_their_own(instance: _Instance) -> None:
    instance.learn(HERE)
    instance.run(HALF_MS)
    instance.learn(THERE)
    assert not instance.may_use_owners(HERE)
    assert instance.may_use_owners(THERE)
    assert instance.known.end(HERE) is not None
    assert instance.known.active == [THERE]
    assert instance.may_use_owners(HERE)


def test_second_record_of_an_evacuation_does_not_extend_it(
    instance: _Instance,
) -> None:
    instance.learn()
    instance.run(HALF_MS)
    assert not instance.learn()
    assert not instance.may_use_owners()


def test_key_that_a_restored_copy_lacks_ends_nothing_at_once(
    instance: _Instance,
) -> None:
    """The store acknowledged the key, and its operator writes it again."""
    instance.learn()
    instance.known.postpone_end(HERE, instance.clock.now())
    instance.run(HALF_MS)
    instance.learn()
    instance.run(LIMIT_MS)
    assert not instance.known.due_ends(instance.clock.now())
    instance.known.postpone_end(HERE, instance.clock.now())
    instance.run(LIMIT_MS)
    assert instance.known.due_ends(instance.clock.now()) == [HERE]


def test_deployment_without_a_limit_has_no_evacuations() -> None:
    known = evacuations.Evacuations(None)
    assert not known.start(HERE, clock.Millis(0), is_prompt=True)
    assert not known.is_evacuated(HERE)
    contact = store_contact.StoreContact(None)
    contact.record_check(clock.Millis(0), is_in_touch=True)
    assert not contact.is_outdated(clock.Millis(LIMIT_MS))


def test_short_limit_does_not_keep_requests_waiting() -> None:
    """Every pause between two checks would count as a suspension."""
    contact = store_contact.StoreContact(STEP_MS)
    contact.record_check(clock.Millis(0), is_in_touch=True)
    assert not contact.is_outdated(clock.Millis(2 * STEP_MS))
