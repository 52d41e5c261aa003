"""Read and write a settings tree as a folder of INI files."""

from pathlib import Path
from typing import Final

from ..ids import SubtreePath
from ..results import Err, Ok, Result
from .tree import ROOT_PATH, SettingsFault

ROOT_FILE_NAME: Final = "root.ini"
INI_SUFFIX: Final = ".ini"


def read_settings_folder(folder: Path) -> Result[dict[SubtreePath, str], SettingsFault]:
    """Read `root.ini` as the root and each other file as the subtree of its path."""
    texts: dict[SubtreePath, str] = {}
    try:
        for file in sorted(folder.rglob(f"*{INI_SUFFIX}")):
            name = file.relative_to(folder).as_posix()
            path = (
                ROOT_PATH
                if name == ROOT_FILE_NAME
                else SubtreePath(name[: -len(INI_SUFFIX)])
            )
            texts[path] = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsFault(str(folder), "", str(error)))
    if not texts:
        return Err(SettingsFault(str(folder), "", "no INI files in this folder"))
    return Ok(texts)


def write_settings_folder(folder: Path, texts: dict[SubtreePath, str]) -> None:
    """Write a tree in the layout that `read_settings_folder` reads."""
    for path, text in texts.items():
        file = folder / (ROOT_FILE_NAME if path == ROOT_PATH else f"{path}{INI_SUFFIX}")
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(text)
