#!/bin/sh
# Builds the stand-ins of the second review: review/bin/rig2. Needs Go only, no network and no other module.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS="-mod=mod -buildvcs=false" GOWORK=off go build -o bin/ ./rig2
