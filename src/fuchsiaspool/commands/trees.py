"""Validate, show, compare and change the settings tree."""

import argparse
import difflib
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

import msgspec

from ..addresses import Address
from ..clock import SystemClock
from ..control import SettingsExport
from ..controllers.store_era import StoreEra
from ..ids import Era, Revision, SubtreePath, TeamName
from ..operations.commits import make_nonce
from ..platform.client import make_platform_store
from ..platform.objects import PlatformStore
from ..results import Err, Ok
from ..settings.files import read_settings_folder
from ..settings.reference import write_reference
from ..settings.store import (
    ApplyFault,
    ChangeOutcomeUnknown,
    EditConflict,
    LoadedTree,
    NotOwner,
    PlatformUnavailable,
    Proposal,
    apply_proposal,
    load_tree,
)
from ..settings.tree import SettingsFault, build_policy
from .exits import ExitCode
from .nodes import fetch_control_page, fetch_status

IN_FORCE_TIMEOUT_SECONDS: Final = 10.0
POLL_INTERVAL_SECONDS: Final = 0.2

SubtreeTexts = dict[SubtreePath, str]


def check_folder(options: argparse.Namespace) -> int:
    """Validate a folder as a whole settings tree."""
    texts = _read_texts(options.folder)
    if texts is None:
        return ExitCode.USAGE
    built = build_policy(Revision(1), texts)
    if isinstance(built, Err):
        print(built.error, file=sys.stderr)
        return ExitCode.USAGE
    services = sorted(built.value.services)
    if options.json:
        print(msgspec.json.encode({"services": services}).decode())
    else:
        print(f"{len(texts)} subtrees, {len(services)} services: ok")
    return ExitCode.DONE


def show_tree(options: argparse.Namespace) -> int:
    """Print the accepted settings tree, or the one in force on a node."""
    if options.node is not None:
        export = fetch_control_page(options.node, "/settings", SettingsExport)
        if export is None:
            return ExitCode.UNREACHABLE
        _print_texts(options, export.revision, export.texts)
        return ExitCode.DONE
    tree = _load_accepted_tree(options.platform)
    if tree is None:
        return ExitCode.UNREACHABLE
    _print_texts(options, tree.root.revision, tree.snapshot.texts)
    return ExitCode.DONE


def diff_folder(options: argparse.Namespace) -> int:
    """Print the differences between a folder and the accepted tree."""
    texts, tree = _read_texts(options.folder), _load_accepted_tree(options.platform)
    if texts is None:
        return ExitCode.USAGE
    if tree is None:
        return ExitCode.UNREACHABLE
    changed = _find_changes(tree.snapshot.texts, texts)
    if options.json:
        print(msgspec.json.encode(sorted(changed)).decode())
    else:
        for path in sorted(changed):
            _print_difference(path, tree.snapshot.texts.get(path, ""), texts[path])
    return ExitCode.DIFFERENT if changed else ExitCode.DONE


def apply_folder(options: argparse.Namespace) -> int:
    """Submit the changed subtrees of a folder to the platform."""
    texts, tree = _read_texts(options.folder), _load_accepted_tree(options.platform)
    if texts is None:
        return ExitCode.USAGE
    if tree is None:
        return ExitCode.UNREACHABLE
    base: SubtreeTexts | None = tree.snapshot.texts
    if options.base is not None:
        base = _read_texts(options.base)
    if base is None:
        return ExitCode.USAGE
    changed = _find_changes(base, texts)
    if not changed:
        print("nothing to change", file=sys.stderr)
        return ExitCode.DONE
    proposal = Proposal(base, changed, TeamName(options.team), options.token)
    store_era = StoreEra()
    store = _connect_store(options.platform, store_era.observe)
    result = apply_proposal(
        SystemClock(), store, proposal, make_nonce, lambda: store_era.current
    )
    match result:
        case Ok(revision):
            return _report_accepted(options, revision, changed)
        case Err(fault):
            return _report_fault(fault)


def show_history(options: argparse.Namespace) -> int:
    """List the last accepted changes, newest first."""
    tree = _load_accepted_tree(options.platform)
    if tree is None:
        return ExitCode.UNREACHABLE
    if options.json:
        print(msgspec.json.encode(tree.root.history[::-1]).decode())
        return ExitCode.DONE
    for entry in reversed(tree.root.history):
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.when))
        paths = ", ".join(path or "root" for path in entry.paths)
        print(f"{entry.revision:>6}  {when}  {entry.team:16}  {paths}")
    return ExitCode.DONE


def show_reference(options: argparse.Namespace) -> int:
    """Print the reference of all options."""
    print(write_reference(), end="")
    return ExitCode.DONE


def _report_accepted(
    options: argparse.Namespace, revision: Revision, changed: SubtreeTexts
) -> int:
    for node in options.wait:
        if not _await_revision(node, revision):
            print(f"{node}: revision {revision} not in force", file=sys.stderr)
            return ExitCode.OUTCOME_UNKNOWN
    if options.json:
        result = {"revision": revision, "paths": sorted(changed)}
        print(msgspec.json.encode(result).decode())
    else:
        paths = ", ".join(path or "root" for path in sorted(changed))
        print(f"accepted as revision {revision}: {paths}")
    return ExitCode.DONE


def _await_revision(node: Address, revision: Revision) -> bool:
    clock = SystemClock()
    deadline = clock.now() + IN_FORCE_TIMEOUT_SECONDS
    print(f"waiting for {node} ...", file=sys.stderr)
    while clock.now() < deadline:
        status = fetch_status(node)
        if status is not None and status.revision >= revision:
            return True
        clock.sleep(POLL_INTERVAL_SECONDS)
    return False


def _report_fault(fault: ApplyFault) -> int:
    match fault:
        case EditConflict():
            print(
                f"{fault.path or 'root'}: changed by another operator", file=sys.stderr
            )
            print(fault.difference, file=sys.stderr)
            return ExitCode.REFUSED
        case NotOwner():
            owner = f"owned by team {fault.owner!r}"
            print(f"{fault.path or 'root'}: {owner}", file=sys.stderr)
            return ExitCode.REFUSED
        case PlatformUnavailable():
            print("platform unreachable: nothing was changed", file=sys.stderr)
            return ExitCode.UNREACHABLE
        case ChangeOutcomeUnknown():
            print(
                "the answer was lost: look for nonce "
                f"{fault.nonce} in 'settings history --json'",
                file=sys.stderr,
            )
            return ExitCode.OUTCOME_UNKNOWN
        case SettingsFault():
            print(fault, file=sys.stderr)
            return ExitCode.USAGE


def _read_texts(folder: str) -> SubtreeTexts | None:
    match read_settings_folder(Path(folder)):
        case Ok(texts):
            return texts
        case Err(fault):
            print(fault, file=sys.stderr)
    return None


def _connect_store(
    address: Address | None, observe_era: Callable[[Era], None] = lambda era: None
) -> PlatformStore:
    if address is None:
        print("--platform IP:port is required", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    return make_platform_store(
        address, SystemClock(), random.Random(), observe_era=observe_era
    )


def _load_accepted_tree(address: Address | None) -> LoadedTree | None:
    match load_tree(_connect_store(address)):
        case Ok(tree):
            return tree
    print("platform unreachable; try a node: settings show --node", file=sys.stderr)
    return None


def _find_changes(base: SubtreeTexts, texts: SubtreeTexts) -> SubtreeTexts:
    return {p: text for p, text in texts.items() if base.get(p) != text}


def _print_texts(
    options: argparse.Namespace, revision: Revision, texts: SubtreeTexts
) -> None:
    if options.json:
        export = SettingsExport(revision, texts)
        print(msgspec.json.encode(export).decode())
        return
    print(f"# revision {revision}")
    for path in sorted(texts):
        print(f"# --- {path or 'root'}")
        print(texts[path].strip())


def _print_difference(path: SubtreePath, accepted: str, proposed: str) -> None:
    lines = difflib.unified_diff(
        accepted.splitlines(),
        proposed.splitlines(),
        f"accepted {path or 'root'}",
        f"folder {path or 'root'}",
        lineterm="",
    )
    for line in lines:
        print(line)
