"""Tell what is known of the owners and leases of earlier terms."""

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import instances
from sycamoreferry_core.keyspace import leases
from sycamoreferry_gateway import (
    assignment,
    order_sender,
    term_claims,
    view,
)

# Within this time, an instance that hears from no coordinator claims the term.
_LONGEST_CLAIM_MS = 5_000


class EarlierTerms:
    """Tell what a claim may take over from the terms before it."""

    def __init__(
        self,
        cluster_view: view.View,
        orders: order_sender.OrderSender,
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._orders = orders

    def owner_knowledge(
        self,
        given_up: ids.Term,
        confirmed_at: clock.Millis,
    ) -> term_claims.OwnerKnowledge:
        """Return what this instance knows of the owners.

        Takes the last term that it gave up, and when the store last confirmed
        that term.
        """
        tracked = self._view.owners
        if tracked.lost_since is None and not tracked.is_unreadable:
            return term_claims.OwnerKnowledge.STORED
        is_own = self.is_own(self._view.assignment, given_up)
        if is_own and not self._may_be_superseded(confirmed_at):
            return term_claims.OwnerKnowledge.REMEMBERED
        return term_claims.OwnerKnowledge.LOST

    def is_own(
        self, earlier: assignment.Assignment, given_up: ids.Term
    ) -> bool:
        """Tell whether this instance wrote an assignment and gave it up."""
        return (
            earlier.term == given_up
            and earlier.coordinator == self._view.deployment.instance
        )

    def must_wait(self, knowledge: term_claims.OwnerKnowledge) -> bool:
        """Tell whether to leave the claim to one that knows the owners."""
        lost_since = self._view.owners.lost_since
        if lost_since is None:
            return False
        waited_ms = self._clock.now() - lost_since
        return (
            knowledge is term_claims.OwnerKnowledge.LOST
            and waited_ms < instances.RECLAIM_TIMEOUT_MS
        )

    def assume_leases(
        self,
        earlier: assignment.Assignment,
        knowledge: term_claims.OwnerKnowledge,
        *,
        is_own: bool,
    ) -> None:
        """Start the lease book of a new term with the leases of an earlier one.

        If this instance gave that term up itself, its lease book has every
        lease, unless the owners are lost.
        """
        until = None
        if knowledge is not term_claims.OwnerKnowledge.LOST:
            if is_own or earlier.coordinator is None:
                return
            until = self._view.owners.given_up_lease_ends.get(earlier.term)
        book = leases.LeaseBook()
        self._orders.use_book(book)
        book.assume_earlier_grants(until or self._latest_end())

    def _may_be_superseded(self, confirmed_at: clock.Millis) -> bool:
        """Tell whether the lost records may have a later claim.

        An instance that claimed a term did not hear this one before, so this
        one did not hear it either. Where many instances run, they are heard
        too rarely to tell; there the last confirmation has to be recent.
        """
        now = self._clock.now()
        peers = self._view.peers
        if (
            peers.peer_timeout_ms > instances.PEER_TIMEOUT_MS
            and now - confirmed_at >= instances.AUTHORITY_MS
        ):
            return True
        since = clock.Millis(confirmed_at - _LONGEST_CLAIM_MS)
        return peers.has_missed_any(since, now)

    def _latest_end(self) -> clock.Millis:
        """Return when all leases granted until now have expired."""
        longest = self._view.deployment.bounds.longest_hold_ms
        latest_arrival_ms = (
            instances.AUTHORITY_MS + order_sender.GRANT_TIMEOUT_MS
        )
        return clock.later(
            self._clock.now(),
            latest_arrival_ms + leases.longest_hold_ms(longest),
        )
