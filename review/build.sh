#!/bin/bash
# The stand-ins are Python and need no build; this checks that they can be loaded with
# the libraries that the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 python3 -c \
  "import review.common.standins"
