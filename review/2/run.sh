#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout -k 2 117 node scenario.mjs
case $? in
  0) exit 0 ;;
  10) exit 1 ;; # the scenario's own code for a broken rule; Node.js uses 1 for an uncaught error
  *) exit 2 ;;
esac
