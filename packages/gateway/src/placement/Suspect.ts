/** Start of an upstream's process that ended while it was about to respond. */
interface Crash {
    /** On the monotonic clock. */
    atMs: number;
    /** True if this gateway had sent a request there. */
    isOwn: boolean;
}

/** Since when requests are blocked, and how many were sent as trials meanwhile. */
interface Block {
    /** On the monotonic clock. */
    sinceMs: number;
    trials: number;
}

/** Crashes within this time may have one common cause, such as the loss of an availability zone. */
const COMMON_CAUSE_WINDOW_MS = 500;
/** Number of crashes within the common-cause window that count as evidence. */
const MAX_EVIDENCE_PER_WINDOW = 2;
const MAX_CRASHES_PER_SUSPECT = 8;

/** A part of requests that may crash upstreams, with the crashes under it since the last response that has begun. */
export class Suspect {
    /** Evidence of a single crash, or that a suspect is none, is sent to other gateways for this long. */
    static readonly reportedForMs = 15_000;
    /** Present while requests with this part are blocked. */
    block?: Block;
    private readonly crashesByUpstream = new Map<number, Crash>();
    private evidenceCount = 0;
    private firstCrashAtMs = Infinity;
    private lastCrashAtMs = -Infinity;
    /** Reported until then even without crashes, so that other gateways learn that it is not a suspect. */
    private reportUntilMs = -Infinity;

    private constructor(readonly part: string, private lastPool: string) {}

    /** Creates a suspect without crashes. */
    static create(part: string, pool: string): Suspect {
        return new Suspect(part, pool);
    }

    /** The upstreams to which its requests are sent. */
    get pool(): string {
        return this.lastPool;
    }

    /** Crashes by start of the upstream. */
    get crashes(): ReadonlyMap<number, Crash> {
        return this.crashesByUpstream;
    }

    /** Number of crashes, of which only some count if they may have a common cause. */
    get evidence(): number {
        return this.evidenceCount;
    }

    /** Time of the first crash on the monotonic clock; Infinity without crashes. */
    get firstCrashMs(): number {
        return this.firstCrashAtMs;
    }

    /** Time between the first and the last crash. */
    get spanMs(): number {
        return this.crashesByUpstream.size === 0 ? 0 : this.lastCrashAtMs - this.firstCrashAtMs;
    }

    /** Number of crashes that this gateway has seen itself. */
    get ownCrashCount(): number {
        return [...this.crashesByUpstream.values()].filter(({ isOwn }) => isOwn).length;
    }

    /** Adds a crash; returns false if it was known as accurately. */
    addCrash(pool: string, upstream: number, crash: Crash): boolean {
        const known = this.crashesByUpstream.get(upstream);
        if (known && known.atMs <= crash.atMs && (known.isOwn || !crash.isOwn)) {
            return false;
        }
        // The earliest report is the most accurate one, as later ones were relayed.
        this.crashesByUpstream.set(upstream, {
            atMs: Math.min(crash.atMs, known?.atMs ?? Infinity),
            isOwn: crash.isOwn || known?.isOwn === true,
        });
        this.lastPool = crash.isOwn ? pool : this.lastPool;
        this.reportFrom(crash.atMs);
        if (this.crashesByUpstream.size > MAX_CRASHES_PER_SUSPECT) {
            const [oldest] = [...this.crashesByUpstream].reduce((first, next) =>
                next[1].atMs < first[1].atMs ? next : first
            );
            this.crashesByUpstream.delete(oldest);
        }
        this.updateEvidence();
        return true;
    }

    /** Removes the crashes up to the time at which a response has begun; returns true if none is left. */
    clearUntil(begunAtMs: number): boolean {
        if (this.firstCrashAtMs <= begunAtMs) {
            this.crashesByUpstream.forEach((crash, upstream) =>
                crash.atMs <= begunAtMs && this.crashesByUpstream.delete(upstream)
            );
            this.updateEvidence();
        }
        return this.crashesByUpstream.size === 0;
    }

    /** Reports the suspect for some time from `atMs` on, even without evidence. */
    reportFrom(atMs: number): void {
        this.reportUntilMs = Math.max(this.reportUntilMs, atMs + Suspect.reportedForMs);
    }

    /** Returns true if other gateways are to learn of the suspect. */
    isReported(nowMs: number): boolean {
        return this.block !== undefined || this.evidenceCount > 1 || nowMs < this.reportUntilMs;
    }

    /** Returns true if its last crash and its reports are older than `ttlMs`. */
    isExpired(nowMs: number, ttlMs: number): boolean {
        return nowMs > this.reportUntilMs && nowMs - this.lastCrashAtMs > ttlMs;
    }

    /** Returns true if all its known crashes were crashes of `other` too. */
    isExplainedBy(other: Suspect): boolean {
        return this.crashesByUpstream.size > 0
            && [...this.crashesByUpstream.keys()].every(upstream => other.crashesByUpstream.has(upstream));
    }

    /** Compares suspects by importance: blocked ones, then those with more evidence, then those with later crashes. */
    compareTo(other: Suspect): number {
        return Number(this.block !== undefined) - Number(other.block !== undefined)
            || this.evidenceCount - other.evidenceCount
            || compare(this.lastCrashAtMs, other.lastCrashAtMs);
    }

    private updateEvidence(): void {
        const timesMs = [...this.crashesByUpstream.values()].map(({ atMs }) => atMs).sort((left, right) =>
            left - right
        );
        this.firstCrashAtMs = timesMs[0] ?? Infinity;
        this.lastCrashAtMs = timesMs.at(-1) ?? -Infinity;
        this.evidenceCount = 0;
        let windowStartMs = -Infinity;
        let inWindow = 0;
        for (const atMs of timesMs) {
            if (atMs - windowStartMs >= COMMON_CAUSE_WINDOW_MS) {
                windowStartMs = atMs;
                inWindow = 0;
            }
            inWindow += 1;
            this.evidenceCount += inWindow <= MAX_EVIDENCE_PER_WINDOW ? 1 : 0;
        }
    }
}

/** Compares times that may be infinite. */
function compare(left: number, right: number): number {
    return left === right ? 0 : left - right;
}
