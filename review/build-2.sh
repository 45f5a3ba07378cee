#!/usr/bin/env bash
# Builds what the scripts of review/4 and on start beside the program of the deploy file. Their stand-ins are
# standins2.py and sites2.py, which need Python 3.11 with its standard library alone; nothing of the project's own
# stand-ins is started.
cd "$(dirname "$0")" && python3 -m py_compile standins2.py sites2.py [4-8]/case.py && rm -rf __pycache__ [4-8]/__pycache__
