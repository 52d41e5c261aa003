"""Read a settings tree from a folder of INI files."""

from pathlib import Path
from typing import Final

from ..ids import SubtreePath
from ..results import Err, Ok, Result
from .tree import ROOT_PATH, SettingsFault

ROOT_FILE: Final = "root.ini"
SUFFIX: Final = ".ini"


def read_settings_folder(folder: Path) -> Result[dict[SubtreePath, str], SettingsFault]:
    """Map `root.ini` to the root and each other file to the subtree it names."""
    texts: dict[SubtreePath, str] = {}
    try:
        for file in sorted(folder.rglob(f"*{SUFFIX}")):
            name = file.relative_to(folder).as_posix()
            path = ROOT_PATH if name == ROOT_FILE else SubtreePath(name[: -len(SUFFIX)])
            texts[path] = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsFault(str(folder), "", str(error)))
    if not texts:
        return Err(SettingsFault(str(folder), "", "no INI files in this folder"))
    return Ok(texts)


def write_settings_folder(folder: Path, texts: dict[SubtreePath, str]) -> None:
    """Write a tree so that `read_folder` reads it back."""
    for path, text in texts.items():
        file = folder / (ROOT_FILE if path == ROOT_PATH else f"{path}{SUFFIX}")
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(text)
