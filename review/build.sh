#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into review/target. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
find review/standin review/[1-9] -name '*.java' -exec javac -Xlint:all -Werror --release 17 -d review/target/classes {} +
