"""Prompts with a beginning that crashes each engine that begins to answer them, on the native interface."""

import concurrent.futures
import json
import os
import subprocess
import threading
import time
import unittest

from control_common import BIN, wait_for
from deployment import Deployment, chat_body, send

MARK = "tray 13 is bottomless"
# A text of whole blocks: callers share it, and the crashing prompts go on with the mark.
COMMON = "".join("Round %04d leaves at six and stops at every school. " % n for n in range(60))
CRASHING = COMMON + (MARK + ". ") * 100
DOWN_S = 1.5
# From this long after the fifth crash on, at most LATE_CRASHES engines may crash.
BOUND_S = 3
LATE_CRASHES = 3


class CrashingPrompt(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.deployment = it = Deployment(controls=1, entries=2, engines=5, engine_options=["--crash-on", MARK])
        cls.addClassCleanup(it.__exit__)
        it.start_all()
        it.apply(it.catalogue())
        cls.key = it.grant("till")
        for entry in it.entries:
            wait_for(lambda entry=entry: send(entry, cls.key, chat_body("hello")).status == 200, 10, "nothing is served")

    def test_prompts_that_crash_engines_stop_reaching_engines(self):
        stop = threading.Event()
        crashes, answers = [], {"sound": [], "crashing": []}

        def watch():
            ended = {}
            while not stop.is_set():
                for it in self.deployment.engines:
                    if it.process.poll() is not None and it.name not in ended:
                        ended[it.name] = time.monotonic()
                        crashes.append(ended[it.name])
                    elif it.name in ended and time.monotonic() - ended[it.name] > DOWN_S:
                        it.start()
                        del ended[it.name]
                time.sleep(0.02)

        def run(kind, text, entry, gap_s):
            n = 0
            while not stop.is_set():
                n += 1
                begun = time.monotonic()
                try:
                    answer = send(entry, self.key, chat_body(f"{text}{entry.name} {n:06d} " + "own words " * 150, 4, stream=True))
                    answers[kind].append((begun, answer.status, answer.headers))
                except OSError:
                    answers[kind].append((begun, 0, {}))
                time.sleep(gap_s)

        with concurrent.futures.ThreadPoolExecutor(5) as pool:
            pool.submit(watch)
            for entry in self.deployment.entries:
                pool.submit(run, "sound", COMMON, entry, 0.05)
                pool.submit(run, "crashing", CRASHING, entry, 0.3)
            try:
                wait_for(lambda: len(crashes) >= 3, 15, "no engines crash")
                time.sleep(12)
            finally:
                stop.set()
        if len(crashes) >= 5:
            late = [t for t in crashes if t > crashes[4] + BOUND_S]
            self.assertLessEqual(len(late), LATE_CRASHES, f"{len(crashes)} engines crashed")
        settled = time.monotonic() - 6
        refused = [it for it in answers["crashing"] if it[0] > settled]
        # Proven: final, with no time to come back. Held until then, or failed in a trial: with such a time.
        self.assertLessEqual({it[1] for it in refused}, {400, 502, 503})
        self.assertFalse([it for it in refused if ("Retry-After" in it[2]) != (it[1] != 400)])
        self.assertLessEqual(len([it for it in refused if it[1] == 502]), LATE_CRASHES)
        sound = [it[1] for it in answers["sound"] if it[0] > settled]
        self.assertGreater(len(sound), 50)
        self.assertEqual(set(sound), {200})


    def test_verdicts_are_shown_to_operators_and_lifted_by_them(self):
        first, second = self.deployment.entries

        def verdicts(entry):
            out = subprocess.run([os.path.join(BIN, "kumquatctl"), "--output", "json", "quarantine",
                                  f"127.0.0.1:{entry.operators}"], capture_output=True, text=True, check=True).stdout
            return {it["subject"]: it for it in json.loads(out)["verdicts"] if it["inForce"]}
        # Tests run in the order of their names: the one before brings the verdict about.
        part = next(iter(verdicts(first)))
        self.assertIn(part, verdicts(second))
        self.assertGreaterEqual(verdicts(first)[part]["crashes"], 3)
        # An entry that starts learns it from the others.
        second.process.kill()
        second.process.wait()
        self.deployment.start_entry(second)
        self.deployment.wait_ready([second])
        wait_for(lambda: part in verdicts(second), 5, "the verdict did not reach an entry that started")
        subprocess.run([os.path.join(BIN, "kumquatctl"), "quarantine", f"127.0.0.1:{first.operators}", "lift", part], check=True)
        for entry in (first, second):
            wait_for(lambda entry=entry: part not in verdicts(entry), 5, "the verdict is still in force")


if __name__ == "__main__":
    unittest.main()
