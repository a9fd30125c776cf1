#!/bin/sh
# Builds the stand-ins and the cases; needs a JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -d classes rig/*.java
