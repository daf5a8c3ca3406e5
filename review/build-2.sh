#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the deploy file's programs. All of their stand-ins are
# Python programs, in review/common-2, review/9 and the project's test/system, which need no build: this only checks that
# they can be read.
set -e
cd "$(dirname "$0")"
python3 -B - <<'END'
import ast, pathlib
project = [pathlib.Path("../test/system") / f"{it}.py" for it in ("platform_common", "platform_standin", "control_common",
                                                                  "forwarder", "ports")]
for it in [*sorted(pathlib.Path(".").glob("common-2/*.py")), *sorted(pathlib.Path(".").glob("9/*.py")), *project]:
    ast.parse(it.read_text())
    print(it, "can be read")
END
