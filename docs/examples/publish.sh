#!/usr/bin/env bash
# Gives a document to the example's stand-in of the platform. Real platforms have their own way.
set -euo pipefail
node --input-type=module - "$1" <<'SCRIPT'
import {readFileSync} from 'node:fs';
const text = readFileSync(process.argv[2], 'utf8');
const {revision} = JSON.parse(text);
await fetch('http://127.0.0.1:7001/control', {method: 'POST', body: JSON.stringify({type: 'publish', text, revision})});
console.log(`published revision ${revision}`);
SCRIPT
