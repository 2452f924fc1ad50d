import type { Clock } from "@fescuehaven/runtime";

/**
 * Runs `action` with a signal that aborts after `timeoutMs` or when `signal` aborts, and waits no longer than that,
 * even if the action ignores its signal. Returns undefined if the action did not finish in time or failed.
 */
export async function withDeadline<T>(
    clock: Clock,
    timeoutMs: number,
    signal: AbortSignal,
    action: (signal: AbortSignal) => Promise<T>,
): Promise<T | undefined> {
    if (signal.aborted) {
        return undefined;
    }
    const attempt = new AbortController();
    const finished = new AbortController();
    const abort = () => attempt.abort();
    signal.addEventListener("abort", abort, { once: true });
    const deadline = clock.sleep(timeoutMs, AbortSignal.any([attempt.signal, finished.signal])).then(() => {
        attempt.abort();
        return undefined;
    });
    const perform = async () => action(attempt.signal);
    try {
        return await Promise.race([perform().catch(() => undefined), deadline]);
    }
    finally {
        finished.abort();
        signal.removeEventListener("abort", abort);
    }
}
