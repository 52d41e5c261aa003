"""Define every option of the settings tree, with its type, unit and bounds."""

from typing import Annotated

from msgspec import Meta, Struct


class ClassSection(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"
):
    """Define the priority of a class of calls."""

    priority: Annotated[
        int,
        Meta(ge=0, le=7, description="Priority; 0 is critical and is shed last."),
    ]


_RetryAllowance = Annotated[
    int,
    Meta(
        ge=0,
        le=5,
        description="Retries that nodes may spend on one caller's request, R.",
    ),
]
_RetryPercent = Annotated[
    int, Meta(ge=0, le=50, description="Retries per 100 first attempts of a service.")
]
_MaxDeadlineMs = Annotated[
    int, Meta(ge=1, le=3_600_000, description="Longest deadline of a call, in ms.")
]
_MaxQueueWaitMs = Annotated[
    int, Meta(ge=1, le=60_000, description="Longest wait in a queue, in ms.")
]
_CrossRegionRateKbit = Annotated[
    int,
    Meta(
        ge=0,
        le=10_000_000,
        description="Cross-region bandwidth of one node, in kbit/s.",
    ),
]


class LimitsSection(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"
):
    """Limit a subtree and its descendants; a descendant may only lower the limits."""

    retry_allowance: _RetryAllowance | None = None
    retry_percent: _RetryPercent | None = None
    deadline_ms: _MaxDeadlineMs | None = None
    queue_ms: _MaxQueueWaitMs | None = None
    region_kbit: _CrossRegionRateKbit | None = None


class ServiceSection(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"
):
    """Describe the backend servers of one service."""

    slots: Annotated[
        int, Meta(ge=1, le=100_000, description="Calls that one server runs at once.")
    ] = 100
    connections: Annotated[
        int, Meta(ge=1, le=100_000, description="Connections that one server accepts.")
    ] = 500
    queue_target_ms: Annotated[
        int,
        Meta(
            ge=1,
            le=10_000,
            description="Queue delay above which calls are shed, in ms.",
        ),
    ] = 20
    default_class: Annotated[
        str, Meta(description="Class of operations that name none.")
    ] = "default"


class OperationSection(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"
):
    """Describe one operation of a service, a kind of call."""

    match: Annotated[
        str,
        Meta(min_length=3, description="Method and path, such as `GET /permits/*`."),
    ]
    call_class: Annotated[str, Meta(description="Name of the operation's class.")] = ""
    idempotent: Annotated[
        bool, Meta(description="Whether a call may run again after an unknown outcome.")
    ] = False
    protected: Annotated[
        bool, Meta(description="Whether a call runs at most once, by idempotency key.")
    ] = False
    deadline_ms: Annotated[
        int, Meta(ge=1, le=3_600_000, description="Deadline of a call, in ms.")
    ] = 2_000


class OwnerSection(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"
):
    """Name the team that may change a subtree."""

    team: Annotated[str, Meta(min_length=1, description="Owner of the subtree.")]
    token_sha256: Annotated[
        str,
        Meta(
            pattern="^([0-9a-f]{64})?$",
            description="SHA-256 of the token that authorises changes, or empty.",
        ),
    ] = ""


class NodeSection(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"
):
    """Describe one node: its names, its addresses and its initial peers."""

    id: Annotated[str, Meta(min_length=1, description="Name of the node.")]
    service: Annotated[
        str, Meta(min_length=1, description="Service of its backend server.")
    ]
    data_centre: Annotated[str, Meta(min_length=1, description="Its data centre.")]
    region: Annotated[str, Meta(min_length=1, description="Its region.")]
    callers: Annotated[str, Meta(description="Address for callers, as IP:port.")]
    mesh: Annotated[str, Meta(description="Address for other nodes, as IP:port.")]
    egress: Annotated[
        str, Meta(description="Address for calls that its server makes, as IP:port.")
    ]
    control: Annotated[str, Meta(description="Address for operators, as IP:port.")]
    peers: Annotated[
        str, Meta(description="Address for heartbeats of other nodes, as IP:port.")
    ]
    server: Annotated[str, Meta(description="Its backend server, as IP:port.")]
    platform: Annotated[
        str, Meta(description="The platform's object store, as IP:port, or empty.")
    ] = ""
    platform_region: Annotated[
        str, Meta(description="Region of the platform's object store, or empty.")
    ] = ""
    contacts: Annotated[
        str, Meta(description="Peers to contact at start, as IP:port, comma separated.")
    ] = ""
    grace_ms: Annotated[
        int, Meta(ge=0, le=3_600_000, description="Longest graceful stop, in ms.")
    ] = 30_000


class PlatformNodeSection(Struct, frozen=True, kw_only=True, rename="kebab"):
    """Describe a node on the platform; options of later versions are ignored."""

    id: Annotated[str, Meta(min_length=1, description="Name of the node.")]
    service: Annotated[
        str, Meta(min_length=1, description="Service of its backend server.")
    ]
    data_centre: Annotated[str, Meta(min_length=1, description="Its data centre.")]
    region: Annotated[str, Meta(min_length=1, description="Its region.")]
    server: Annotated[str, Meta(description="Its backend server, as IP:port.")]
    outbound: Annotated[
        str, Meta(description="Address for callers and the local server, as IP:port.")
    ]
    inbound: Annotated[str, Meta(description="Address for other nodes, as IP:port.")]
    readiness: Annotated[
        str, Meta(description="Address that reports if it is ready, as IP:port.")
    ]
    reports: Annotated[
        str, Meta(description="Address for heartbeats of its server, as IP:port.")
    ]
    peers: Annotated[
        str, Meta(description="Address for messages of peers, as IP:port.")
    ]
    metrics: Annotated[str, Meta(description="Address for metrics, as IP:port.")]
    platform: Annotated[
        str, Meta(description="The platform's object store, as IP:port.")
    ]
    contacts: Annotated[
        str, Meta(description="Peers to contact at start, as IP:port, comma separated.")
    ] = ""
    grace_seconds: Annotated[
        float, Meta(gt=0, le=3600, description="Longest graceful stop, in s.")
    ] = 6.0
    heartbeat_seconds: Annotated[
        float, Meta(gt=0, le=3600, description="Time between heartbeats, in s.")
    ] = 1.5
    retry_window_seconds: Annotated[
        float, Meta(gt=0, le=3600, description="Window of the retry budget, in s.")
    ] = 10.0
    retry_slack: Annotated[
        float,
        Meta(
            ge=0,
            description="Retries per window that all nodes may make beyond the ratio.",
        ),
    ] = 0.0
    quarantine_crashes: Annotated[
        int,
        Meta(
            ge=0,
            le=1000,
            description="Servers that a request may crash before it is refused;"
            " 0 refuses none.",
        ),
    ] = 3
    link_mbit: Annotated[
        float, Meta(gt=0, description="Cross-region bandwidth of all nodes, in Mbit/s.")
    ] = 30.0
