#!/usr/bin/env python3
"""Prompt tokens computed, and times to the answer, with and without a KV cache store.

    KUMQUATHAVEN_BIN=build/release/bin python3 utils/measure/kvstore.py

Three engines that compute 20,000 prompt tokens a second and one entry, all on the loopback. Twelve prefixes of 40,000
tokens in ten blocks are asked for three times each, with 8 tokens of their own; then an engine is killed and comes back
cold, and every prefix is asked for twice more. Answers have 8 tokens. One request at a time.
"""

import os
import statistics
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "test", "system"))

from control_common import wait_for  # noqa: E402
from deployment import elapsed  # noqa: E402
from kvstore_common import PREFIX_BLOCKS, KvDeployment, computed_tokens, prefix  # noqa: E402

PREFIXES = 12
EXPORT_SECONDS = 30


def ask_all(it, texts, times):
    """Asks for each text and returns tokens computed and seconds of each answer."""
    tokens, seconds = [], []
    for n in range(times):
        for text in texts:
            answer, took = elapsed(lambda: it.ask(text + "turn %04d, please" % n))
            assert answer.status == 200, answer.text
            tokens.append(computed_tokens(answer))
            seconds.append(took)
    return tokens, seconds


def run(has_store):
    with KvDeployment(prefill=20000, engines=3, has_store=has_store) as it:
        it.begin()
        texts = [prefix("of document %d" % n) for n in range(PREFIXES)]
        warm, _ = ask_all(it, texts, 3)
        if has_store:
            wait_for(lambda: ask_all(it, texts, 1) and it.stored_blocks() >= PREFIXES * PREFIX_BLOCKS,
                     EXPORT_SECONDS, "the prefixes were not exported")
        imported = it.metric("kumquathaven_kv_imported_tokens_total")
        it.engines[0].kill()
        it.engines[0].start()
        tokens, seconds = ask_all(it, texts, 2)
        print("| %s | %d | %d | %.0f | %.0f | %d |" % (
            "with" if has_store else "without", sum(warm), sum(tokens), statistics.median(seconds) * 1000,
            max(seconds) * 1000, it.metric("kumquathaven_kv_imported_tokens_total") - imported))


if __name__ == "__main__":
    print("| store | computed before | computed after | p50 ms | longest ms | imported after |\n| --- | --- | --- | --- | --- | --- |")
    run(False)
    run(True)
