"""Check, show, compare and change the settings tree."""

import argparse
import difflib
import random
import sys
import time
from pathlib import Path
from typing import Final

import msgspec

from ..addresses import Address
from ..clock import SystemClock
from ..control import SettingsExport
from ..ids import Revision, SubtreePath, TeamName
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
from .exits import Exit
from .nodes import fetch, fetch_status

IN_FORCE_SECONDS: Final = 10.0
LOOK_SECONDS: Final = 0.2

Texts = dict[SubtreePath, str]


def check(options: argparse.Namespace) -> int:
    """Check a folder as one tree."""
    texts = _read(options.folder)
    if texts is None:
        return Exit.USAGE
    built = build_policy(Revision(1), texts)
    if isinstance(built, Err):
        print(built.error, file=sys.stderr)
        return Exit.USAGE
    services = sorted(built.value.services)
    if options.json:
        print(msgspec.json.encode({"services": services}).decode())
    else:
        print(f"{len(texts)} subtrees, {len(services)} services: ok")
    return Exit.DONE


def show(options: argparse.Namespace) -> int:
    """Print the tree that is accepted, or that a node has in force."""
    if options.node is not None:
        found = fetch(options.node, "/settings", SettingsExport)
        if found is None:
            return Exit.UNREACHABLE
        _print_texts(options, found.revision, found.texts)
        return Exit.DONE
    tree = _load(options.platform)
    if tree is None:
        return Exit.UNREACHABLE
    _print_texts(options, tree.root.revision, tree.snapshot.texts)
    return Exit.DONE


def diff(options: argparse.Namespace) -> int:
    """Print how a folder differs from what is accepted."""
    texts, tree = _read(options.folder), _load(options.platform)
    if texts is None:
        return Exit.USAGE
    if tree is None:
        return Exit.UNREACHABLE
    changed = _find_changes(tree.snapshot.texts, texts)
    if options.json:
        print(msgspec.json.encode(sorted(changed)).decode())
    else:
        for path in sorted(changed):
            _print_difference(path, tree.snapshot.texts.get(path, ""), texts[path])
    return Exit.DIFFERENT if changed else Exit.DONE


def apply(options: argparse.Namespace) -> int:
    """Get the changed subtrees of a folder accepted."""
    texts, tree = _read(options.folder), _load(options.platform)
    if texts is None:
        return Exit.USAGE
    if tree is None:
        return Exit.UNREACHABLE
    base: Texts | None = tree.snapshot.texts
    if options.base is not None:
        base = _read(options.base)
    if base is None:
        return Exit.USAGE
    changed = _find_changes(base, texts)
    if not changed:
        print("nothing to change", file=sys.stderr)
        return Exit.DONE
    proposal = Proposal(base, changed, TeamName(options.team), options.token)
    platform = _connect(options.platform)
    accepted = apply_proposal(SystemClock(), platform, proposal, make_nonce)
    match accepted:
        case Ok(revision):
            return _report_accepted(options, revision, changed)
        case Err(fault):
            return _report_fault(fault)


def history(options: argparse.Namespace) -> int:
    """List the last accepted changes, the newest first."""
    tree = _load(options.platform)
    if tree is None:
        return Exit.UNREACHABLE
    if options.json:
        print(msgspec.json.encode(tree.root.history[::-1]).decode())
        return Exit.DONE
    for entry in reversed(tree.root.history):
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(entry.when))
        paths = ", ".join(path or "root" for path in entry.paths)
        print(f"{entry.revision:>6}  {when}  {entry.team:16}  {paths}")
    return Exit.DONE


def reference(options: argparse.Namespace) -> int:
    """Print the reference of every option."""
    print(write_reference(), end="")
    return Exit.DONE


def _report_accepted(
    options: argparse.Namespace, revision: Revision, changed: Texts
) -> int:
    for node in options.wait:
        if not _await_revision(node, revision):
            print(f"{node}: revision {revision} not in force", file=sys.stderr)
            return Exit.NOT_KNOWN
    if options.json:
        result = {"revision": revision, "paths": sorted(changed)}
        print(msgspec.json.encode(result).decode())
    else:
        paths = ", ".join(path or "root" for path in sorted(changed))
        print(f"accepted as revision {revision}: {paths}")
    return Exit.DONE


def _await_revision(node: Address, revision: Revision) -> bool:
    clock = SystemClock()
    last = clock.now() + IN_FORCE_SECONDS
    print(f"waiting for {node} ...", file=sys.stderr)
    while clock.now() < last:
        status = fetch_status(node)
        if status is not None and status.revision >= revision:
            return True
        clock.sleep(LOOK_SECONDS)
    return False


def _report_fault(fault: ApplyFault) -> int:
    match fault:
        case EditConflict():
            print(f"{fault.path or 'root'}: changed by another", file=sys.stderr)
            print(fault.difference, file=sys.stderr)
            return Exit.REFUSED
        case NotOwner():
            owner = f"owned by team {fault.owner!r}"
            print(f"{fault.path or 'root'}: {owner}", file=sys.stderr)
            return Exit.REFUSED
        case PlatformUnavailable():
            print("platform unreachable: nothing was changed", file=sys.stderr)
            return Exit.UNREACHABLE
        case ChangeOutcomeUnknown():
            print(
                "the answer was lost: look for nonce "
                f"{fault.nonce} in 'settings history --json'",
                file=sys.stderr,
            )
            return Exit.NOT_KNOWN
        case SettingsFault():
            print(fault, file=sys.stderr)
            return Exit.USAGE


def _read(folder: str) -> Texts | None:
    match read_settings_folder(Path(folder)):
        case Ok(texts):
            return texts
        case Err(fault):
            print(fault, file=sys.stderr)
    return None


def _connect(address: Address | None) -> PlatformStore:
    if address is None:
        print("--platform IP:port is needed", file=sys.stderr)
        sys.exit(Exit.USAGE)
    return make_platform_store(address, SystemClock(), random.Random())


def _load(address: Address | None) -> LoadedTree | None:
    match load_tree(_connect(address)):
        case Ok(tree):
            return tree
    print("platform unreachable; try a node: settings show --node", file=sys.stderr)
    return None


def _find_changes(base: Texts, texts: Texts) -> Texts:
    return {p: text for p, text in texts.items() if base.get(p) != text}


def _print_texts(options: argparse.Namespace, revision: Revision, texts: Texts) -> None:
    if options.json:
        export = SettingsExport(revision, texts)
        print(msgspec.json.encode(export).decode())
        return
    print(f"# revision {revision}")
    for path in sorted(texts):
        print(f"# --- {path or 'root'}")
        print(texts[path].strip())


def _print_difference(path: SubtreePath, accepted: str, wanted: str) -> None:
    lines = difflib.unified_diff(
        accepted.splitlines(),
        wanted.splitlines(),
        f"accepted {path or 'root'}",
        f"folder {path or 'root'}",
        lineterm="",
    )
    for line in lines:
        print(line)
