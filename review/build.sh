#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript for Node.js and need no build. This checks that each of them can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.js [0-9]/*.js; do
	node --check "$file"
done
