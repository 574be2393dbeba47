"""Generates the protobuf and gRPC code from the ``.proto`` files."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src"
PROTOS = SOURCE / "masticdeck" / "protocol" / "generated"


def main() -> int:
    """Run the compiler on every ``.proto`` file."""
    binary = Path(sys.executable).parent
    files = sorted(str(path.relative_to(SOURCE)) for path in PROTOS.glob("*.proto"))
    command = [
        sys.executable,
        "-m",
        "grpc_tools.protoc",
        f"--proto_path={SOURCE}",
        f"--plugin=protoc-gen-grpclib_python={binary / 'protoc-gen-grpclib_python'}",
        f"--python_out={SOURCE}",
        f"--pyi_out={SOURCE}",
        f"--grpclib_python_out={SOURCE}",
        *files,
    ]
    return subprocess.run(command, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
