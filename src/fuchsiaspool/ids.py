"""Define the identifier types that all modules share."""

from typing import NewType

RequestId = NewType("RequestId", str)
CallerId = NewType("CallerId", str)
ServiceName = NewType("ServiceName", str)
OperationName = NewType("OperationName", str)
RouteName = NewType("RouteName", str)
InstanceId = NewType("InstanceId", str)
ClassName = NewType("ClassName", str)
NodeId = NewType("NodeId", str)
DataCentre = NewType("DataCentre", str)
Region = NewType("Region", str)
TeamName = NewType("TeamName", str)
SubtreePath = NewType("SubtreePath", str)
OperationKey = NewType("OperationKey", str)
Token = NewType("Token", str)
Nonce = NewType("Nonce", str)
Revision = NewType("Revision", int)
Version = NewType("Version", int)
Era = NewType("Era", int)
Incarnation = NewType("Incarnation", int)
Fingerprint = NewType("Fingerprint", int)
# One start of a backend server: its instance id and start time.
ServerStart = NewType("ServerStart", str)
