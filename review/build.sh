#!/bin/sh
# Builds the stand-ins and the cases of the review: review/bin/rig. Needs Go only, no network and no other module.
set -e
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off go build -o bin/ ./rig
