"""Compiles a description in a process of its own, bounded in memory and time, beside one that serves.

`python -m ivymux.service.compiler FILE` with the options as JSON on standard input, or without a file with
`Texts` as MessagePack; on standard output a byte that tells which, then the compiled description or the
findings as MessagePack.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import sys
import tempfile
from hashlib import sha256
from pathlib import Path

import msgspec

from ivymux import __version__
from ivymux.routes.model import CompiledDescription, DescriptionError, Finding, Options
from ivymux.routes.refs import ReadFile
from ivymux.text import MAX_BYTES

MAX_MEMORY = 3 << 30  # bytes of address space
MAX_CPU = 60  # seconds
TIMEOUT = 90.0
MAX_OUTPUT = 256 << 20
GOOD, BAD = b"+", b"-"
MAGIC = b"ivymux-routes-1\n"


class CompilerError(RuntimeError):
    """The compiler ended without a result."""


class Cached(msgspec.Struct, frozen=True):
    program: str  # the version that made it
    options: Options
    compiled: CompiledDescription


def reader(path: Path) -> ReadFile:
    """Reads a description's files.  What leads out of its folder, also by a link, is refused."""
    folder = path.parent.resolve()

    def read(name: str) -> bytes:
        # The file itself may be a link, as configuration tools make them; the files beside it may not
        # lead elsewhere.
        target = path if name == path.name else folder / name
        if name != path.name and not target.resolve().is_relative_to(folder):
            raise OSError(None, "it leads out of the description's folder")
        with open(target, "rb") as source:
            if not os.path.isfile(source.fileno()):
                raise OSError(None, "it is not a file")
            return source.read(MAX_BYTES + 1)

    return read


class Texts(msgspec.Struct, frozen=True):
    """A description that is in no folder."""

    main: str
    files: dict[str, bytes]
    options: Options

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise OSError(None, "it is not among the description's files")
        return self.files[name]


def main() -> int:
    """The child's part."""
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MEMORY, MAX_MEMORY))
    resource.setrlimit(resource.RLIMIT_CPU, (MAX_CPU, MAX_CPU))
    os.nice(10)
    from ivymux.routes.description import compile_description

    given = sys.stdin.buffer.read()
    if len(sys.argv) > 1:
        path = Path(sys.argv[1])
        read, options = reader(path), msgspec.json.decode(given, type=Options)
    else:
        texts = msgspec.msgpack.decode(given, type=Texts)
        path, read, options = Path(texts.main), texts.read, texts.options
    try:
        out = GOOD + msgspec.msgpack.encode(compile_description(path.name, read, options))
    except DescriptionError as error:
        out = BAD + msgspec.msgpack.encode(error.findings)
    except MemoryError:
        finding = Finding("error", path.name, "", "needs more memory than it may have")
        out = BAD + msgspec.msgpack.encode([finding])
    sys.stdout.buffer.write(out)
    return 0


async def compile_beside(path: Path, options: Options) -> CompiledDescription:
    """A file's description, compiled in a process of its own.  Raises DescriptionError, CompilerError."""
    return await compile_in_child(str(path), [str(path)], msgspec.json.encode(options))


async def compile_texts(texts: Texts) -> CompiledDescription:
    """The same for one that is in no folder.  Raises DescriptionError, CompilerError."""
    return await compile_in_child(texts.main, [], msgspec.msgpack.encode(texts))


async def compile_in_child(path: str, arguments: list[str], given: bytes) -> CompiledDescription:
    try:
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ivymux.service.compiler", *arguments,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
    except OSError as error:
        raise CompilerError(f"{path}: the compiler can't be started: {error.strerror}") from None
    try:
        async with asyncio.timeout(TIMEOUT):
            out, _ = await child.communicate(given)
    except TimeoutError:
        raise CompilerError(f"{path}: not compiled within {TIMEOUT:g} s") from None
    except (OSError, RuntimeError):  # it ended before it read its options; uvloop says so in its own way
        out = b""
    finally:
        if child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                child.kill()
    if out[:1] == GOOD and len(out) <= MAX_OUTPUT:
        return msgspec.msgpack.decode(out[1:], type=CompiledDescription)
    if out[:1] == BAD:
        raise DescriptionError(msgspec.msgpack.decode(out[1:], type=list[Finding]))
    raise CompilerError(f"{path}: needs more than {MAX_CPU} s or {MAX_MEMORY >> 30} GiB to compile")


# --- the cache -------------------------------------------------------------------------------------


def cache_file(folder: Path, path: Path) -> Path:
    return folder / f"{path.name}.{sha256(str(path.resolve()).encode()).hexdigest()[:12]}.routes"


def unchanged(path: Path, compiled: CompiledDescription) -> bool:
    """Whether every file that a description was made of is still the same.  Raises OSError."""
    read = reader(path)
    return all(sha256(read(name)).hexdigest() == known for name, known in compiled.files.items())


def load_cached(folder: Path, path: Path, options: Options) -> CompiledDescription | None:
    """The compiled description as kept, if every file that it was made of is still the same."""
    try:
        data = cache_file(folder, path).read_bytes()
        if not data.startswith(MAGIC):
            return None
        digest, payload = data[len(MAGIC) : len(MAGIC) + 64], data[len(MAGIC) + 64 :]
        if sha256(payload).hexdigest().encode() != digest:
            return None  # damaged, or cut short
        kept = msgspec.msgpack.decode(payload, type=Cached)
        if (kept.program, kept.options) != (__version__, options):
            return None
        if not unchanged(path, kept.compiled):
            return None
    except (OSError, msgspec.MsgspecError):
        return None
    return kept.compiled


def keep(folder: Path, path: Path, options: Options, compiled: CompiledDescription) -> None:
    """Keep a compiled description: whole or not at all.  Raises OSError."""
    payload = msgspec.msgpack.encode(Cached(__version__, options, compiled))
    folder.mkdir(parents=True, exist_ok=True)
    handle, name = tempfile.mkstemp(dir=folder, suffix=".part")
    try:
        with os.fdopen(handle, "wb") as sink:
            sink.write(MAGIC + sha256(payload).hexdigest().encode() + payload)
            sink.flush()
            os.fsync(sink.fileno())
        os.replace(name, cache_file(folder, path))
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(name)
        raise


async def obtain(path: Path, options: Options, cache: Path | None) -> tuple[CompiledDescription, bool]:
    """A description from the cache or compiled, and whether it was kept."""
    if cache is not None:
        compiled = await asyncio.to_thread(load_cached, cache, path, options)
        if compiled is not None:
            return compiled, True
    compiled = await compile_beside(path, options)
    if cache is not None:
        with contextlib.suppress(OSError):  # a cache only saves time
            await asyncio.to_thread(keep, cache, path, options, compiled)
    return compiled, False


if __name__ == "__main__":
    sys.exit(main())
