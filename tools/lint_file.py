"""Lints one source file, unless a run that passed has seen the same text.

    BUILD=build LINT_CACHE=FOLDER python3 -m tools.lint_file src/main.cpp

The linter reads what the preprocessor leaves: all included files, comments (they
can hold suppressions) and macro definitions. The key of a result is a hash of
that text, of the flags, and of the linter's version and checks; only passes are kept.
"""

import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

LINTER = 'clang-tidy'
# The preprocessor of the linter's own compiler.
PREPROCESSOR = 'clang++'


def flags_of(source, build):
    """Returns the compiler's flags for `source`, without its output."""
    commands = json.loads((build / 'compile_commands.json').read_text())
    wanted = str(pathlib.Path(source).resolve())
    for command in commands:
        if command['file'] == wanted:
            words = shlex.split(command['command'])
            start = next(place for place, word in enumerate(words) if word.endswith('++'))
            output = words.index('-o')
            return words[start + 1:output]
    return None


def key_of(source, flags):
    """Returns the key of the linter's result; None if the file isn't preprocessed."""
    text = subprocess.run([PREPROCESSOR, *flags, '-E', '-P', '-CC', '-dD', source], capture_output=True, check=False)
    if text.returncode != 0:
        return None
    version = subprocess.run([LINTER, '--version'], capture_output=True, check=True)
    digest = hashlib.sha256()
    root = str(pathlib.Path.cwd())
    for part in (text.stdout, version.stdout, pathlib.Path('.clang-tidy').read_bytes(), source.encode(),
                 ' '.join(flags).replace(root, '.').encode()):
        digest.update(hashlib.sha256(part).digest())
    return digest.hexdigest()


def main(source):
    build = pathlib.Path(os.environ['BUILD'])
    flags = flags_of(source, build)
    key = key_of(source, flags) if flags is not None else None
    passed = pathlib.Path(os.environ['LINT_CACHE']) / key if key else None
    if passed and passed.exists():
        return 0
    result = subprocess.run([LINTER, '-p', str(build), '--quiet', source], stderr=subprocess.DEVNULL, check=False)
    if result.returncode == 0 and passed:
        passed.touch()
    return result.returncode


if __name__ == '__main__':
    sys.exit(main(sys.argv[1]))
