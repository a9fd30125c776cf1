#!/bin/sh
# Builds the stand-ins of the review's cases into review/target; run after the build of the deploy file.
set -e
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$here/target/rig-2"
mkdir -p "$here/target/rig-2"
javac --release 17 -d "$here/target/rig-2" "$here"/rig-2/*.java
javac --release 17 -cp "$here/../example/grpc/target/example-grpc.jar" -d "$here/target/rig-2" "$here"/rig-2/grpc/*.java
