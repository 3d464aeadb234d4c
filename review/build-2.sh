#!/bin/sh
# The stand-ins of the scripts in review/4 and later are plain Node.js modules (review/stand-ins-2): there is nothing to build.
# The scripts start target/celerydrift.js, which the build of deploy/system.toml makes.
exit 0
