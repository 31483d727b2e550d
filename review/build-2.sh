#!/bin/sh
# Compiles the stand-ins of cases 4 to 8. They need only Python 3.11 and its own library.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile stand_ins_2.py 4/play.py 5/play.py 6/play.py 7/play.py 8/play.py
