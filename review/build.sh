#!/bin/sh
# Builds the stand-ins of the review's cases into target/review/. They use the standard library only.
set -e
cd "$(dirname "$0")/standins"
GOTOOLCHAIN=local GOWORK=off GOFLAGS= go build -o ../../target/review/standins .
