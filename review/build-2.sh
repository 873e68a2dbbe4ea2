#!/usr/bin/env bash
# The stand-ins of review/4 to review/8 are plain modules for Node 20 and need no build: this checks that each can be read.
# The gateways that the scripts start are built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
set -e
for file in review/rig-2/*.mjs review/[4-8]/*.mjs; do
  node --check "$file"
done
