"""Inspect protected operations and resolve those with unknown outcome."""

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
from .exits import ExitCode


def show_record(options: argparse.Namespace) -> int:
    """Print the record of an idempotency key."""
    shard = _find_shard_key(options.key)
    if shard is None:
        return ExitCode.USAGE
    store = make_platform_store(options.platform, SystemClock(), random.Random())
    match store.get(shard):
        case Ok(stored):
            record = decode_shard(stored.value).operations.get(options.key)
        case Err(ReadFault.NOT_FOUND):
            record = None
        case _:
            print("platform unreachable", file=sys.stderr)
            return ExitCode.UNREACHABLE
    if record is None:
        print(f"{options.key}: never claimed, or given back: it did not run")
        return ExitCode.DONE
    _print_record(options, record)
    return ExitCode.DONE


def resolve_operation(options: argparse.Namespace) -> int:
    """Record whether an operation with unknown outcome ran on the backend server."""
    shard = _find_shard_key(options.key)
    if shard is None:
        return ExitCode.USAGE
    clock = SystemClock()
    store = make_platform_store(options.platform, clock, random.Random())
    committer = GroupCommitter(clock, NodeId("operator"), store)
    ran = options.ran == "yes"
    change = ResolveUnknown(OperationKey(options.key), ran, clock.wall())
    result = committer.commit(shard, change)
    match result:
        case Committed():
            print(f"{options.key}: settled as {'run' if ran else 'not run'}")
            return ExitCode.DONE
        case RecordConflict():
            print(f"{options.key}: not in doubt", file=sys.stderr)
            _print_record(options, result.record)
            return ExitCode.DIFFERENT
    print(f"{options.key}: no record, or platform unreachable", file=sys.stderr)
    return ExitCode.UNREACHABLE


def _find_shard_key(key: str) -> ObjectKey | None:
    match find_shard_key(OperationKey(key), time.time()):
        case Ok(shard):
            return shard
        case Err(fault):
            print(f"{key}: {fault.value}", file=sys.stderr)
    return None


def _print_record(options: argparse.Namespace, record: OperationRecord) -> None:
    if options.json:
        fields = msgspec.structs.asdict(record)
        print(msgspec.json.encode(fields).decode())
        return
    seconds_left = record.expires - time.time()
    kept_answer = "no" if record.answer is None else f"{len(record.answer.body)} bytes"
    print(
        f"state {record.state.value}, held by {record.holder}, "
        f"answer kept: {kept_answer}"
    )
    print(
        f"deadline {'in' if seconds_left > 0 else 'passed for'} "
        f"{abs(seconds_left):.0f} s"
    )
