#!/usr/bin/env bash
# The stand-ins of these cases are plain JavaScript without dependencies: there is nothing to build, only to check.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/common-2/*.js review/[4-8]/*.js; do
	node --check "$file"
done
