#!/usr/bin/env bash
# TROUBLE=0 runs the case without the disruptions.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec python3 case.py
