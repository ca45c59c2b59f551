#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../play-2.sh" dark-starts "$here"
