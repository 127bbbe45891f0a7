#!/bin/bash
# Builds the stand-ins and scripts of the cases 6 to 10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/harness-2"
rm -rf target/classes
mkdir -p target/classes
javac -d target/classes --release 17 -Xlint:all,-try src/review/*.java
