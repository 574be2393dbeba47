"""Makes a certificate authority and a certificate for each entry, for examples.

``python -m scripts.make_keys FOLDER entry-1 entry-2`` writes ``authority.pem``
and, for each name, ``NAME.pem`` and ``NAME.key`` into the folder. The
authority's own key is not kept: to add an entry, make all keys anew.
"""

from __future__ import annotations

import argparse
import datetime
import os
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509.oid import NameOID

VALID_DAYS = 30
CLOCK_SKEW = datetime.timedelta(hours=1)


@dataclass(frozen=True)
class Authority:
    """A certificate authority with its key."""

    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey


def name_of(text: str) -> x509.Name:
    """Return a distinguished name with one common name."""
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def begin(
    name: str, issuer: x509.Name, key: ec.EllipticCurvePrivateKey
) -> x509.CertificateBuilder:
    """Return a certificate's builder with everything but its extensions."""
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(name_of(name))
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_SKEW)
        .not_valid_after(now + datetime.timedelta(days=VALID_DAYS))
    )


def create_authority(name: str = "masticdeck example authority") -> Authority:
    """Return a new certificate authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    extension = x509.BasicConstraints(ca=True, path_length=0)
    certificate = (
        begin(name, name_of(name), key)
        .add_extension(extension, critical=True)
        .sign(key, hashes.SHA256())
    )
    return Authority(certificate, key)


def write_certificate(authority: Authority, folder: Path, name: str) -> None:
    """Write a new key and certificate for an entry."""
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = (
        begin(name, authority.certificate.subject, key)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), False)
        .sign(authority.key, hashes.SHA256())
    )
    private = key.private_bytes(
        Encoding.PEM, PrivateFormat.PKCS8, encryption_algorithm=NoEncryption()
    )
    replace(folder / f"{name}.key", private)
    replace(folder / f"{name}.pem", certificate.public_bytes(Encoding.PEM))


def replace(path: Path, content: bytes) -> None:
    """Write a file that only its owner may read, in place of the old one."""
    fresh = path.with_suffix(f"{path.suffix}.new")
    fresh.unlink(missing_ok=True)
    descriptor = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(content)
    fresh.replace(path)


def write_keys(folder: Path, names: list[str], *authorities: Authority) -> None:
    """Write certificates of the first authority, and trust all of them."""
    folder.mkdir(parents=True, exist_ok=True)
    chosen = authorities or (create_authority(),)
    trusted = [one.certificate.public_bytes(Encoding.PEM) for one in chosen]
    replace(folder / "authority.pem", b"".join(trusted))
    for name in names:
        write_certificate(chosen[0], folder, name)


def main() -> None:
    """Write the files that the command line asks for."""
    parser = argparse.ArgumentParser(prog="make_keys")
    parser.add_argument("folder", type=Path)
    parser.add_argument("names", nargs="+", help="entry ids")
    arguments = parser.parse_args()
    write_keys(arguments.folder, arguments.names)


if __name__ == "__main__":
    main()
