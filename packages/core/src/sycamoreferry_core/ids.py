"""Name the identifiers that records and messages carry."""

import typing

InstanceId = typing.NewType('InstanceId', str)
ServerId = typing.NewType('ServerId', str)
ServiceName = typing.NewType('ServiceName', str)
DataCentre = typing.NewType('DataCentre', str)
ShardId = typing.NewType('ShardId', int)
Term = typing.NewType('Term', int)
OrderNumber = typing.NewType('OrderNumber', int)
Offset = typing.NewType('Offset', int)
Fence = typing.NewType('Fence', int)
SnapshotId = typing.NewType('SnapshotId', str)
RecordId = typing.NewType('RecordId', str)
ProfileName = typing.NewType('ProfileName', str)
ProfileNumber = typing.NewType('ProfileNumber', int)
RequestId = typing.NewType('RequestId', str)
IdempotencyKey = typing.NewType('IdempotencyKey', str)
CallerId = typing.NewType('CallerId', str)

NO_TERM = Term(0)
FIRST_TERM = Term(1)
NO_FENCE = Fence(-1)
NO_PROFILE_NUMBER = ProfileNumber(0)
FIRST_OFFSET = Offset(0)
