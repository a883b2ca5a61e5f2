#!/usr/bin/env bash
exec "$(dirname "$0")/../tools/run-case" "$(dirname "$0")" stale
