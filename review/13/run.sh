#!/usr/bin/env bash
exec "$(dirname "$0")/../tools-3/run.sh" own-503 "$(dirname "$0")"
