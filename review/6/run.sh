#!/bin/sh
# Plays the case; TROUBLE=0 plays it without its disruption.
cd "$(dirname "$0")" && exec python3 play.py "${TROUBLE:-1}"
