#!/usr/bin/env bash
exec "$(dirname "$0")/../tools-3/run.sh" item-gone "$(dirname "$0")"
