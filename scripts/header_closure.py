"""Prints the project's headers that a source file includes, directly or transitively."""

import pathlib
import re
import sys

INCLUDE = re.compile(r'^\s*#include\s+"([^"]+)"', re.MULTILINE)
ROOTS = [pathlib.Path("src/include"), pathlib.Path("src")]


def find_header(name, source):
    for folder in [source.parent, *ROOTS]:
        path = folder / name
        if path.is_file():
            return path.resolve()
    return None


def transitive_headers(source):
    seen = set()
    pending = [source]
    while pending:
        path = pending.pop()
        for name in INCLUDE.findall(path.read_text()):
            header = find_header(name, path)
            if header and header not in seen:
                seen.add(header)
                pending.append(header)
    return sorted(seen)


if __name__ == "__main__":
    print("\n".join(str(path) for path in transitive_headers(pathlib.Path(sys.argv[1]))))
