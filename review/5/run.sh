#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file; see claim.txt. With TROUBLE=0 without the disruption.
# PARTS, ID_DIGITS and GATEWAYS choose another form of it.
cd "$(dirname "$0")/../.." || exit 2
for built in review/target/classes/CrashingPart.class target/gateway/yuccaferry-gateway.jar; do
  [ -f "$built" ] || { echo "$built is missing: run the build of the deploy file and review/build.sh"; exit 2; }
done
exec java -cp review/target/classes CrashingPart review/5 "${PARTS:-20}" "${ID_DIGITS:-8}" "${GATEWAYS:-2}"
