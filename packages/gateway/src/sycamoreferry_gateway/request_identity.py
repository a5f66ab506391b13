"""Tell which answer of a connection belongs to a request.

A faulty server may send an answer twice, the second time when the next request
on the connection arrives. So an answer belongs to a request only if it names
the ID of the request and the connection never carried that ID before, or if the
connection carried no other request.
"""

import dataclasses
import enum

from sycamoreferry_core import http_messages


@enum.unique
class Match(enum.Enum):
    """Classify an answer by the ID that it names."""

    OWN = 'own'
    # It names no ID, so it may answer any request of its connection.
    UNNAMED = 'unnamed'
    OTHER = 'other'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIdentity:
    """Hold the ID that answers to a request name, and in which header."""

    # In lower case.
    header: str
    request_id: str
    # Answers to HEAD end with their head, whatever length it names.
    expects_body: bool = True

    def match(self, answer: http_messages.HttpResponse) -> Match:
        """Classify an answer that is received while the request waits."""
        named = {
            content for name, content in answer.headers if name == self.header
        }
        if not named:
            return Match.UNNAMED
        return Match.OWN if named == {self.request_id} else Match.OTHER
