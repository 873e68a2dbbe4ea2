#!/usr/bin/env bash
# The scripts start no stand-in of the project, and their own are plain modules that need no build: they are only checked here.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do node --check "$file"; done
