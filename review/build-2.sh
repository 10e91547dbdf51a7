#!/bin/sh
# Checks the stand-ins and plays of the second review. They are plain modules of Node.js: nothing has to be compiled or installed.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/play.mjs 10/play.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
