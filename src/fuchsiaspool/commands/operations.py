"""Look at protected operations and settle those in doubt."""

import argparse
import random
import sys
import time

import msgspec

from ..clock import SystemClock
from ..ids import NodeId, OperationKey
from ..operation_records import (
    Committed,
    OperationRecord,
    RecordConflict,
    ResolveUnknown,
)
from ..operations.commits import GroupCommitter, decode_shard
from ..operations.keys import find_shard_key
from ..platform.client import make_platform_store
from ..platform.objects import ObjectKey, ReadFault
from ..results import Err, Ok
from .exits import Exit


def show(options: argparse.Namespace) -> int:
    """Print what is known of a key."""
    shard = _place(options.key)
    if shard is None:
        return Exit.USAGE
    platform = make_platform_store(options.platform, SystemClock(), random.Random())
    match platform.get(shard):
        case Ok(stored):
            record = decode_shard(stored.value).operations.get(options.key)
        case Err(ReadFault.NOT_FOUND):
            record = None
        case _:
            print("platform unreachable", file=sys.stderr)
            return Exit.UNREACHABLE
    if record is None:
        print(f"{options.key}: never claimed, or given back: it did not run")
        return Exit.DONE
    _print_record(options, record)
    return Exit.DONE


def resolve(options: argparse.Namespace) -> int:
    """Settle a key in doubt by what the backend server's books say."""
    shard = _place(options.key)
    if shard is None:
        return Exit.USAGE
    clock = SystemClock()
    platform = make_platform_store(options.platform, clock, random.Random())
    committer = GroupCommitter(clock, NodeId("operator"), platform)
    ran = options.ran == "yes"
    change = ResolveUnknown(OperationKey(options.key), ran, clock.wall())
    verdict = committer.commit(shard, change)
    match verdict:
        case Committed():
            print(f"{options.key}: settled as {'run' if ran else 'not run'}")
            return Exit.DONE
        case RecordConflict():
            print(f"{options.key}: not in doubt", file=sys.stderr)
            _print_record(options, verdict.record)
            return Exit.DIFFERENT
    print(f"{options.key}: no record, or platform unreachable", file=sys.stderr)
    return Exit.UNREACHABLE


def _place(key: str) -> ObjectKey | None:
    match find_shard_key(OperationKey(key), time.time()):
        case Ok(shard):
            return shard
        case Err(fault):
            print(f"{key}: {fault.value}", file=sys.stderr)
    return None


def _print_record(options: argparse.Namespace, record: OperationRecord) -> None:
    if options.json:
        found = msgspec.structs.asdict(record)
        print(msgspec.json.encode(found).decode())
        return
    left = record.expires - time.time()
    kept = "no" if record.answer is None else f"{len(record.answer.body)} bytes"
    print(f"state {record.state.value}, held by {record.holder}, answer kept: {kept}")
    print(f"deadline {'in' if left > 0 else 'passed for'} {abs(left):.0f} s")
