#!/bin/sh
# Compiles the stand-ins and the cases, which need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, asyncio, tomllib; assert sys.version_info >= (3, 11)'
python3 -m compileall -q standins [1-9]
