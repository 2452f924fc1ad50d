import type { ReadOutcome } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";
import type { DecisionLog } from "./ports/DecisionLog.js";

interface ConfigurationVerifierOptions {
    clock: Clock;
    log: DecisionLog;
    /** Reads the configuration object as it is now, or was the stated time ago. */
    read: () => Promise<ReadOutcome & { ageMs?: number; }>;
    /** Activates a configuration in its stored form if it is newer than the active one. */
    adopt: (value: unknown) => void;
    /** Returns true if a change may have been delayed on its way to this gateway. */
    isInDoubt: () => boolean;
    /** Returns true if another gateway is known to have a newer configuration. */
    isBehind: () => boolean;
    /** Activates the newer configurations of other gateways. */
    catchUp: () => Promise<void>;
    /** A verification counts for requests that are read while what it has read is not older than this. */
    validForMs: number;
}

/** Longest wait for the store, or else a peer. Callers that are refused then find another gateway sooner. */
const TIMEOUT_MS = 1000;

/**
 * Verifies before a request is denied that the active configuration is the newest one, if there is any doubt. Calls to
 * the store are billed, and requests with unknown routes and keys come all the time.
 */
export class ConfigurationVerifier {
    private confirmedAtMs = -Infinity;
    private startedAtMs = -Infinity;
    private reading: Promise<boolean> | undefined;

    private constructor(private readonly options: ConfigurationVerifierOptions) {}

    /** Creates a verifier. It reads nothing until `verify` is called. */
    static create(options: ConfigurationVerifierOptions): ConfigurationVerifier {
        return new ConfigurationVerifier(options);
    }

    /** When the store had what the last successful verification has read, monotonic; -Infinity before. */
    get verifiedAtMs(): number {
        return this.confirmedAtMs;
    }

    /** Starts a verification, unless one was started within the time for which it counts. */
    refresh(): void {
        if (this.options.clock.monotonicMs() - this.startedAtMs >= this.options.validForMs) {
            void this.verify();
        }
    }

    /** Resolves to true once the active configuration is known to be the newest; false if that cannot be found out. */
    async verify(): Promise<boolean> {
        const { clock, isInDoubt, isBehind, validForMs } = this.options;
        if (!isInDoubt()) {
            return true;
        }
        if (clock.monotonicMs() - this.confirmedAtMs < validForMs && !isBehind()) {
            return true;
        }
        this.reading ??= this.read().finally(() => {
            this.reading = undefined;
        });
        const timeout = new AbortController();
        const timedOut = clock.sleep(TIMEOUT_MS, timeout.signal).then(() => false);
        const isVerified = await Promise.race([this.reading, timedOut]);
        timeout.abort();
        return isVerified;
    }

    private async read(): Promise<boolean> {
        const { clock, log, read, adopt, isBehind, catchUp } = this.options;
        const startedAtMs = clock.monotonicMs();
        this.startedAtMs = startedAtMs;
        const outcome = await read();
        const tookMs = Math.round(clock.monotonicMs() - startedAtMs);
        if (outcome.kind === "unavailable") {
            log.info("configuration could not be verified", { tookMs });
            return false;
        }
        if (outcome.kind === "found") {
            adopt(outcome.object.value);
        }
        if (isBehind()) {
            // The store may have been restored from an older copy.
            await catchUp();
        }
        log.info("configuration verified", { tookMs });
        // The response may have been delayed, and so may have been the view of a peer.
        this.confirmedAtMs = startedAtMs - (outcome.ageMs ?? 0);
        return true;
    }
}
