"""Compiles route descriptions in a child process with bounded memory and time; caches the results on disk.

A gateway goes on serving meanwhile.  The child process is `python -m ivymux.service.compiler FILE` with the
options as JSON on standard input, or the same without FILE and with `DescriptionFiles` as MessagePack.  It
writes one byte, `COMPILED_MARK` or `FINDINGS_MARK`, then the compiled description or the findings as
MessagePack.
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

MAX_MEMORY_BYTES = 3 << 30  # of address space
MAX_CPU_S = 60
TIMEOUT_S = 90.0
MAX_OUTPUT_BYTES = 256 << 20
COMPILED_MARK, FINDINGS_MARK = b"+", b"-"
MAGIC = b"ivymux-routes-1\n"  # the first line of a cache file


class CompilerError(RuntimeError):
    """The child process ended without a result."""


class Cached(msgspec.Struct, frozen=True):
    """The content of a cache file: a compiled description and what it was compiled with."""

    program: str  # the version of the program that compiled it
    options: Options
    compiled: CompiledDescription


def folder_reader(path: Path) -> ReadFile:
    """Return a function that reads a description's files by name.

    It raises OSError for a file outside the description's folder, also if a link leads there.
    """
    folder = path.parent.resolve()

    def read(name: str) -> bytes:
        # The description itself may be a link, as some configuration tools replace a file by changing a link.
        # The files that the description refers to may not be links out of the folder.
        target = path if name == path.name else folder / name
        if name != path.name and not target.resolve().is_relative_to(folder):
            raise OSError(None, "it leads out of the description's folder")
        with open(target, "rb") as source:
            if not os.path.isfile(source.fileno()):
                raise OSError(None, "it is not a file")
            return source.read(MAX_BYTES + 1)

    return read


class DescriptionFiles(msgspec.Struct, frozen=True):
    """A description whose files are in memory, such as one uploaded through the administration API."""

    main: str  # the name of the main file
    files: dict[str, bytes]  # contents by name
    options: Options

    def read(self, name: str) -> bytes:
        """Return a file's content.  Raises OSError."""
        if name not in self.files:
            raise OSError(None, "it is not among the description's files")
        return self.files[name]


def main() -> int:
    """Run as the child process; return its exit code."""
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MEMORY_BYTES, MAX_MEMORY_BYTES))
    resource.setrlimit(resource.RLIMIT_CPU, (MAX_CPU_S, MAX_CPU_S))
    os.nice(10)
    from ivymux.routes.description import compile_description

    input_data = sys.stdin.buffer.read()
    if len(sys.argv) > 1:
        path = Path(sys.argv[1])
        read, options = folder_reader(path), msgspec.json.decode(input_data, type=Options)
    else:
        uploaded = msgspec.msgpack.decode(input_data, type=DescriptionFiles)
        path, read, options = Path(uploaded.main), uploaded.read, uploaded.options
    try:
        out = COMPILED_MARK + msgspec.msgpack.encode(compile_description(path.name, read, options))
    except DescriptionError as error:
        out = FINDINGS_MARK + msgspec.msgpack.encode(error.findings)
    except MemoryError:
        finding = Finding("error", path.name, "", "needs more memory than it may have")
        out = FINDINGS_MARK + msgspec.msgpack.encode([finding])
    sys.stdout.buffer.write(out)
    return 0


async def compile_file(path: Path, options: Options) -> CompiledDescription:
    """Compile the description in a file.  Raises DescriptionError, CompilerError."""
    return await run_compiler(str(path), [str(path)], msgspec.json.encode(options))


async def compile_in_memory(files: DescriptionFiles) -> CompiledDescription:
    """Compile a description in memory.  Raises DescriptionError, CompilerError."""
    return await run_compiler(files.main, [], msgspec.msgpack.encode(files))


async def run_compiler(path: str, arguments: list[str], input_data: bytes) -> CompiledDescription:
    """Run the child process; `path` names the description in errors.  Raises as `compile_file` does."""
    try:
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ivymux.service.compiler", *arguments,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
    except OSError as error:
        raise CompilerError(f"{path}: the compiler can't be started: {error.strerror}") from None
    try:
        async with asyncio.timeout(TIMEOUT_S):
            out, _ = await child.communicate(input_data)
    except TimeoutError:
        raise CompilerError(f"{path}: not compiled within {TIMEOUT_S:g} s") from None
    except (OSError, RuntimeError):  # the child ended before it read its input; uvloop raises RuntimeError
        out = b""
    finally:
        if child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                child.kill()
    if out[:1] == COMPILED_MARK and len(out) <= MAX_OUTPUT_BYTES:
        return msgspec.msgpack.decode(out[1:], type=CompiledDescription)
    if out[:1] == FINDINGS_MARK:
        raise DescriptionError(msgspec.msgpack.decode(out[1:], type=list[Finding]))
    raise CompilerError(f"{path}: needs more than {MAX_CPU_S} s or {MAX_MEMORY_BYTES >> 30} GiB to compile")


# --- the cache -------------------------------------------------------------------------------------


def cache_file(folder: Path, path: Path) -> Path:
    """Return the cache file of a description; another folder gives another cache file."""
    return folder / f"{path.name}.{sha256(str(path.resolve()).encode()).hexdigest()[:12]}.routes"


def is_unchanged(path: Path, compiled: CompiledDescription) -> bool:
    """Return whether all files that a description was compiled from are unchanged.  Raises OSError."""
    read = folder_reader(path)
    return all(sha256(read(name)).hexdigest() == digest for name, digest in compiled.files.items())


def load_cached(folder: Path, path: Path, options: Options) -> CompiledDescription | None:
    """Return the compiled description from the cache, or None if that is missing, damaged or outdated."""
    try:
        data = cache_file(folder, path).read_bytes()
        if not data.startswith(MAGIC):
            return None
        digest, payload = data[len(MAGIC) : len(MAGIC) + 64], data[len(MAGIC) + 64 :]
        if sha256(payload).hexdigest().encode() != digest:
            return None  # damaged, or cut short
        cached = msgspec.msgpack.decode(payload, type=Cached)
        if (cached.program, cached.options) != (__version__, options):
            return None
        if not is_unchanged(path, cached.compiled):
            return None
    except (OSError, msgspec.MsgspecError):
        return None
    return cached.compiled


def store_cached(folder: Path, path: Path, options: Options, compiled: CompiledDescription) -> None:
    """Write a compiled description to the cache, atomically.  Raises OSError."""
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


async def load_or_compile(
    path: Path, options: Options, cache: Path | None
) -> tuple[CompiledDescription, bool]:
    """Return a description's compiled form, and whether it came from the cache.

    Raises DescriptionError, CompilerError.
    """
    if cache is not None:
        compiled = await asyncio.to_thread(load_cached, cache, path, options)
        if compiled is not None:
            return compiled, True
    compiled = await compile_file(path, options)
    if cache is not None:
        with contextlib.suppress(OSError):  # without the cache the next start only takes longer
            await asyncio.to_thread(store_cached, cache, path, options, compiled)
    return compiled, False


if __name__ == "__main__":
    sys.exit(main())
