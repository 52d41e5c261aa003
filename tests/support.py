"""Small fakes and builders that tests share."""

from fuchsiaspool.allowance import Allowance
from fuchsiaspool.bodies import Body
from fuchsiaspool.calls import Call
from fuchsiaspool.controllers.balancer import Place
from fuchsiaspool.controllers.members import Member, MemberState
from fuchsiaspool.ids import (
    CallerId,
    DataCentre,
    Incarnation,
    NodeId,
    Region,
    RequestId,
    Revision,
    ServiceName,
    SubtreePath,
)
from fuchsiaspool.settings.tree import build_policy

QUOTA = ServiceName("quota")
TEXTS = {
    SubtreePath(""): """
[owner]
team = platform
[limits]
retry-allowance = 2
retry-percent = 20
deadline-ms = 5000
[class critical]
priority = 0
[class bulk]
priority = 5
""",
    SubtreePath("agency/quota"): """
[owner]
team = quota
[service quota]
slots = 4
default-class = bulk
[operation check]
match = GET /quota/*
call-class = critical
idempotent = yes
[operation certify]
match = POST /lots/*
call-class = bulk
protected = yes
""",
}


def make_policy(revision=1, texts=TEXTS):
    return build_policy(Revision(revision), texts).value


def make_call(
    clock,
    request="r-1",
    service=QUOTA,
    method="GET",
    target="/quota/1",
    seconds=5.0,
    allowance=2,
    **fields,
):
    call = Call(
        RequestId(request),
        CallerId(fields.pop("caller", "kitchen")),
        service,
        method,
        target,
        fields.pop("headers", []),
        fields.pop("body", Body()),
        clock.now(),
        clock.now() + seconds,
        Allowance(allowance),
    )
    for name, value in fields.items():
        setattr(call, name, value)
    return call


def make_place(node="a", service=QUOTA, centre="north-1", region="north"):
    return Place(NodeId(node), service, DataCentre(centre), Region(region))


def make_member(node, service=QUOTA, centre="north-1", region="north", **fields):
    return Member(
        NodeId(node),
        service,
        DataCentre(centre),
        Region(region),
        fields.get("mesh", "127.0.0.1:1"),
        fields.get("peers", "127.0.0.1:2"),
        Incarnation(fields.get("incarnation", 1)),
        fields.get("state", MemberState.ALIVE),
    )
