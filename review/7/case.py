"""Line ends without an end, in the bodies of an engine's answers."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))

from clients import run_case
from endless import play

UNIT = "\n"

if __name__ == "__main__":
    sys.exit(run_case(__file__, lambda folder: play(folder, UNIT, in_head=False)))
