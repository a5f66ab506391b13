"""Define the fields of records, within bounds that later uses can bear.

What a record holds becomes part of the state, which instances encode, send to
each other and write to the log again.
"""

import typing

import msgspec

from sycamoreferry_core import clock, decoding, ids
from sycamoreferry_core.fleet import addresses

MAX_SHARDS = 65_536
# Parts have up to 32 KB.
MAX_SNAPSHOT_PARTS = 4_096
# Messages between instances hold times of requests in 32 bits.
_TIME_BITS = 32
_MAX_TIME_MS = (1 << _TIME_BITS) - 1

_LABEL = msgspec.Meta(max_length=decoding.MAX_LABEL_LENGTH)
_NAME = r'([A-Za-z0-9_-]{1,63}\.){0,7}[A-Za-z0-9_-]{1,63}'
_IPV6 = r'[0-9A-Fa-f]{0,4}(:[0-9A-Fa-f]{0,4}){2,7}(\.[0-9]{1,3}){0,3}'
_WHOLE = msgspec.Meta(ge=-decoding.MAX_NUMBER, le=decoding.MAX_NUMBER)

InstanceId = typing.Annotated[ids.InstanceId, _LABEL]
ServerId = typing.Annotated[ids.ServerId, _LABEL]
ServiceName = typing.Annotated[ids.ServiceName, _LABEL]
DataCentre = typing.Annotated[ids.DataCentre, _LABEL]
SnapshotId = typing.Annotated[ids.SnapshotId, _LABEL]
RecordId = typing.Annotated[ids.RecordId, _LABEL]
ProfileName = typing.Annotated[ids.ProfileName, _LABEL]
RequestDigest = typing.Annotated[ids.RequestDigest, _LABEL]
# A name or an IPv4 address, as it stands in a URL.
Host = typing.Annotated[str, msgspec.Meta(pattern=rf'^{_NAME}\Z')]
PeerHost = typing.Annotated[str, msgspec.Meta(pattern=rf'^({_NAME}|{_IPV6})\Z')]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=addresses.MAX_PORT)]

Term = typing.Annotated[ids.Term, _WHOLE]
Offset = typing.Annotated[ids.Offset, _WHOLE]
ProfileNumber = typing.Annotated[ids.ProfileNumber, _WHOLE]
UnixMillis = typing.Annotated[clock.UnixMillis, _WHOLE]
TimeLeft = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_TIME_MS)]
ShardId = typing.Annotated[ids.ShardId, msgspec.Meta(ge=0, lt=MAX_SHARDS)]
ShardCount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_SHARDS)]
SnapshotPart = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_SNAPSHOT_PARTS)]
