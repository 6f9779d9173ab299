#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out
exec "$here/../run-case.sh" "$here" TestRevoke
