#!/usr/bin/env bash
exec "$(dirname "$0")/../tools-3/run.sh" forgotten "$(dirname "$0")"
