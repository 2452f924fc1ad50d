import { hash32 } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";
import type { DecisionLog } from "../ports/DecisionLog.js";
import { AttemptHistory } from "./AttemptHistory.js";
import type { CrashEvidence } from "./CrashEvidence.js";
import type { CrashSuspect } from "./CrashSuspect.js";
import type { GatewayPosition } from "./GatewayPosition.js";
import type { PromptAdmission } from "./PromptAdmission.js";

interface CrashingPromptDetectorOptions {
    clock: Clock;
    log: DecisionLog;
    /** Position of this gateway among the registered ones; undefined while it is not known. */
    position: () => GatewayPosition | undefined;
}

interface Suspect {
    part: string;
    pool: string;
    /** Crashes by start of the upstream. */
    crashes: Map<number, Crash>;
    /** Number of crashes, of which only some count if they may have a common cause. */
    evidence: number;
    firstCrashMs: number;
    lastCrashMs: number;
    block?: Block;
    /** Reported until then even without crashes, so that other gateways learn that it is not a suspect. */
    reportUntilMs: number;
}

/** A response that has begun. */
interface Beginning {
    id: number;
    /** On the monotonic clock. */
    atMs: number;
}

interface Crash {
    atMs: number;
    /** True if this gateway had sent a request there. */
    isOwn: boolean;
}

interface Block {
    sinceMs: number;
    trials: number;
}

/** Crashes within this time may have one common cause, such as the loss of an availability zone. */
const COMMON_CAUSE_WINDOW_MS = 500;
/** Number of crashes within the common-cause window that count as evidence. */
const MAX_EVIDENCE_PER_WINDOW = 2;
/** Evidence below which a part is never blocked, and below which its requests are retried as usual. */
const MIN_EVIDENCE_TO_BLOCK = 3;
const MIN_EVIDENCE_TO_DENY_RETRY = 2;
/** A part is blocked if a sound one would collect as much evidence with a lower probability than this. */
const BLOCK_PROBABILITY = 5e-4;
/** The same for a part with which responses have begun before: it is more probably sound. */
const KNOWN_PART_BLOCK_PROBABILITY = 1e-8;
/** The same for not sending a request once more after a crash. */
const DENY_RETRY_PROBABILITY = 0.1;
/**
 * Number of other responses that must have begun since the first crash before a part is blocked with which responses
 * have begun earlier: without any, the upstreams are the more probable cause.
 */
const MIN_BEGUN_ATTEMPTS = 3;
/** Time from the first crash until a part is blocked, in which other gateways report responses that have begun. */
const CONFIRMATION_MS = 1000;
/** The share of attempts that crash is measured from this long before a suspect's first crash, for so long at most. */
const CRASH_SHARE_LEAD_MS = 1000;
const ATTEMPT_HISTORY_MS = 30_000;
/** Attempts and crashes that are assumed in advance, so that few attempts do not decide. */
const PRIOR_ATTEMPTS = 5;
const PRIOR_CRASHES = 1;
/** Evidence is kept for this long after the last crash. */
const EVIDENCE_TTL_MS = 600_000;
/** Evidence of a single crash, or that a suspect is none, is sent to other gateways for this long. */
const SHORT_REPORT_MS = 15_000;
/** Interval between checks whether suspects have become certain. */
const CHECK_INTERVAL_MS = 50;
/** Pause until the first trial of a blocked part; each trial multiplies it by the factor, up to the longest. */
const FIRST_TRIAL_DELAY_MS = 60_000;
const TRIAL_DELAY_FACTOR = 8;
const MAX_TRIAL_DELAY_MS = 86_400_000;
/** Delay of each gateway's turn for a trial after the one before: other gateways learn of a trial within this time. */
const TRIAL_TURN_MS = 500;
/** The same for a gateway that receives nothing from others, as none of them learns of another's trial. */
const ISOLATED_TRIAL_TURN_MS = 600_000;
/** A gateway to which no evidence was reported for this time is isolated; several heartbeats of its peers. */
const ISOLATED_AFTER_MS = 2000;
/** Limits of the tables. */
const MAX_SUSPECTS = 256;
const MAX_REPORTED_SUSPECTS = 32;
const MAX_REPORTED_CLEARED_PARTS = 64;
const MAX_CRASHES_PER_SUSPECT = 8;
const MAX_BEGUN_PARTS = 4096;
const MAX_POOLS = 64;

/**
 * Finds parts of prompts that crash every upstream that begins to respond to them, and blocks requests with such a part.
 * A response that has begun clears all parts of its prompt. A part is blocked if upstreams crash under it repeatedly
 * and more often than the share of crashing attempts explains. Gateways share their evidence, because each of them
 * handles only some of the requests.
 */
export class CrashingPromptDetector {
    private readonly suspects = new Map<string, Suspect>();
    /** The latest response to a prompt with each part that has begun; the least recent first. */
    private readonly beginnings = new Map<string, Beginning>();
    /** This gateway's attempts by pool. */
    private readonly histories = new Map<string, AttemptHistory>();
    private checkedAtMs = -Infinity;
    /** When another gateway last reported evidence. */
    private mergedAtMs = -Infinity;
    /** True if there is evidence that has not been checked yet. */
    private isOutdated = false;

    private constructor(private readonly options: CrashingPromptDetectorOptions) {}

    /** Creates a detector without evidence. */
    static create(options: CrashingPromptDetectorOptions): CrashingPromptDetector {
        return new CrashingPromptDetector(options);
    }

    /**
     * Decides whether a request may be sent to an upstream. One request with a blocked part is allowed now and then as a
     * trial, by one gateway of the fleet.
     */
    admit(parts: readonly string[]): PromptAdmission {
        const suspect = this.findBlocking(parts);
        if (!suspect) {
            return { kind: "allowed" };
        }
        const { part, block } = suspect;
        const nowMs = this.options.clock.monotonicMs();
        const untilTrialMs = nextTrialAtMs(block) - nowMs;
        if (untilTrialMs + this.trialTurnMs(part, block) <= 0) {
            suspect.block = { sinceMs: nowMs, trials: block.trials + 1 };
            this.options.log.info("trial of a blocked prompt part", { part, trials: suspect.block.trials });
            return { kind: "trial" };
        }
        return { kind: "blocked", part, retryAfterMs: Math.max(TRIAL_TURN_MS, untilTrialMs) };
    }

    /** Returns true if requests with these parts are blocked. */
    isBlocked(parts: readonly string[]): boolean {
        return this.findBlocking(parts) !== undefined;
    }

    /** Returns true if a request may be sent to another upstream after one has crashed under it. */
    mayRetry(parts: readonly string[]): boolean {
        const blocked = [...this.suspects.values()].filter(isBlockedSuspect);
        return !parts.some(part => {
            const suspect = this.suspects.get(part);
            return suspect && suspect.evidence >= MIN_EVIDENCE_TO_DENY_RETRY
                && this.soundProbability(suspect) < DENY_RETRY_PROBABILITY
                && !blocked.some(other => other !== suspect && explains(other, suspect) && !parts.includes(other.part));
        });
    }

    /** Records that an upstream has sent the first event of a response to a prompt with these parts. */
    recordBegun(parts: readonly string[], pool = ""): void {
        this.historyOf(pool).record("begun");
        const atMs = this.options.clock.monotonicMs();
        const id = hash32(`${this.options.position()?.index}/${atMs}`);
        parts.forEach(part => this.setBegun(part, { id, atMs }));
    }

    /** Records that an upstream ended before the first event; `upstream` identifies the start of its process. */
    recordCrash(parts: readonly string[], upstream: string, pool = ""): void {
        this.historyOf(pool).record("crashed");
        const crash: Crash = { atMs: this.options.clock.monotonicMs(), isOwn: true };
        parts.forEach(part => this.addCrash(part, pool, hash32(upstream), crash));
        this.blockSuspects();
    }

    /** Returns the evidence for other gateways: all blocked parts, and the suspects with most evidence. */
    state(): CrashEvidence {
        this.blockSuspects();
        const nowMs = this.options.clock.monotonicMs();
        const reported = [...this.suspects.values()]
            .filter(suspect => isReported(suspect, nowMs))
            .sort((left, right) => compareRanks(rankOf(right), rankOf(left)) || (left.part < right.part ? -1 : 1));
        const isSuspect = (suspect: Suspect) => suspect.block !== undefined || suspect.evidence > 0;
        const suspects = reported.filter(isSuspect).slice(0, MAX_REPORTED_SUSPECTS);
        const cleared = reported.filter(suspect => !isSuspect(suspect)).slice(-MAX_REPORTED_CLEARED_PARTS);
        return { suspects: [...suspects, ...cleared].map(suspect => this.toReport(suspect, nowMs)) };
    }

    /** Returns the blocked parts. */
    blocked(): CrashSuspect[] {
        return this.state().suspects.filter(({ block }) => block !== undefined);
    }

    /** Merges the evidence of another gateway. The order and number of merges makes no difference. */
    merge({ suspects }: CrashEvidence): void {
        const nowMs = this.options.clock.monotonicMs();
        this.mergedAtMs = nowMs;
        for (const { part, pool, crashes, begun, block } of suspects) {
            if (begun) {
                if (begun.ageMs < SHORT_REPORT_MS && !this.suspects.has(part)) {
                    // Relayed, as the gateways that follow this one may know of crashes.
                    this.addSuspect(part, pool);
                }
                this.setBegun(part, { id: begun.id, atMs: nowMs - begun.ageMs });
            }
            for (const { upstream, ageMs } of crashes) {
                this.addCrash(part, pool, upstream, { atMs: nowMs - ageMs, isOwn: false });
            }
            if (block) {
                const hasBegunSince = crashes.length > 0
                    ? (this.suspects.get(part)?.crashes.size ?? 0) === 0
                    : nowMs - block.ageMs <= this.begunAtMs(part);
                if (!hasBegunSince) {
                    this.adoptBlock(part, pool, { sinceMs: nowMs - block.ageMs, trials: block.trials });
                }
            }
        }
        this.blockSuspects();
    }

    /**
     * Returns the blocked suspect for which a request with these parts is refused. Of two blocked parts that were in the
     * same crashes, either may be the cause, so a request is refused only if it has both. A part all of whose crashes
     * are explained by another one is not a cause.
     */
    private findBlocking(parts: readonly string[]): Suspect & { block: Block; } | undefined {
        if (this.suspects.size === 0) {
            return undefined;
        }
        this.blockSuspects();
        const blocked = [...this.suspects.values()].filter(isBlockedSuspect);
        return blocked.find(suspect =>
            parts.includes(suspect.part)
            && blocked.every(other =>
                other === suspect || !explains(other, suspect)
                || (explains(suspect, other) && parts.includes(other.part))
            )
        );
    }

    private begunAtMs(part: string): number {
        return this.beginnings.get(part)?.atMs ?? -Infinity;
    }

    private setBegun(part: string, reported: Beginning): void {
        const known = this.beginnings.get(part);
        // The earliest report of one response is the most accurate, as later ones were relayed.
        const isNews = !known || (reported.id === known.id ? reported.atMs < known.atMs : reported.atMs > known.atMs);
        if (!isNews) {
            return;
        }
        this.beginnings.delete(part);
        this.beginnings.set(part, reported);
        if (this.beginnings.size > MAX_BEGUN_PARTS) {
            this.beginnings.delete(this.beginnings.keys().next().value ?? "");
        }
        const suspect = this.suspects.get(part);
        if (!suspect) {
            return;
        }
        const hadCrashes = suspect.crashes.size > 0;
        if (suspect.firstCrashMs <= reported.atMs) {
            suspect.crashes.forEach((crash, upstream) =>
                crash.atMs <= reported.atMs && suspect.crashes.delete(upstream)
            );
            updateEvidence(suspect);
        }
        if (suspect.crashes.size > 0) {
            return;
        }
        suspect.reportUntilMs = Math.max(suspect.reportUntilMs, reported.atMs + SHORT_REPORT_MS);
        if (suspect.block && (hadCrashes || reported.atMs > suspect.block.sinceMs)) {
            this.options.log.info("prompt part is no longer blocked", { part, trials: suspect.block.trials });
            suspect.block = undefined;
        }
    }

    private addCrash(part: string, pool: string, upstream: number, crash: Crash): void {
        const nowMs = this.options.clock.monotonicMs();
        if (crash.atMs <= this.begunAtMs(part)) {
            // A gateway that reports it has not learned yet that a response has begun since.
            const suspect = this.suspects.get(part) ?? this.addSuspect(part, pool);
            suspect.reportUntilMs = nowMs + SHORT_REPORT_MS;
            return;
        }
        const suspect = this.suspects.get(part) ?? this.addSuspect(part, pool);
        const known = suspect.crashes.get(upstream);
        if (known && known.atMs <= crash.atMs && (known.isOwn || !crash.isOwn)) {
            return;
        }
        // The earliest report is the most accurate one, as later ones were relayed.
        suspect.crashes.set(upstream, {
            atMs: Math.min(crash.atMs, known?.atMs ?? Infinity),
            isOwn: crash.isOwn || known?.isOwn === true,
        });
        suspect.pool = crash.isOwn ? pool : suspect.pool;
        suspect.reportUntilMs = Math.max(suspect.reportUntilMs, crash.atMs + SHORT_REPORT_MS);
        if (suspect.crashes.size > MAX_CRASHES_PER_SUSPECT) {
            const [oldest] = [...suspect.crashes].reduce((first, next) => next[1].atMs < first[1].atMs ? next : first);
            suspect.crashes.delete(oldest);
        }
        updateEvidence(suspect);
        this.isOutdated = true;
    }

    private adoptBlock(part: string, pool: string, block: Block): void {
        const suspect = this.suspects.get(part) ?? this.addSuspect(part, pool);
        if (!suspect.block) {
            this.options.log.warn("prompt part blocked", { part, crashes: suspect.crashes.size, isReported: true });
        }
        if (!suspect.block || block.trials > suspect.block.trials) {
            suspect.block = block;
        }
    }

    private addSuspect(part: string, pool: string): Suspect {
        if (this.suspects.size >= MAX_SUSPECTS) {
            const least = [...this.suspects.values()].reduce((first, next) =>
                compareRanks(rankOf(next), rankOf(first)) < 0 ? next : first
            );
            this.suspects.delete(least.part);
        }
        const suspect: Suspect = {
            part,
            pool,
            crashes: new Map(),
            evidence: 0,
            firstCrashMs: Infinity,
            lastCrashMs: -Infinity,
            reportUntilMs: -Infinity,
        };
        this.suspects.set(part, suspect);
        return suspect;
    }

    /** Blocks suspects with enough evidence, and forgets old evidence. */
    private blockSuspects(): void {
        const nowMs = this.options.clock.monotonicMs();
        if (!this.isOutdated && nowMs - this.checkedAtMs < CHECK_INTERVAL_MS) {
            return;
        }
        this.checkedAtMs = nowMs;
        this.isOutdated = false;
        for (const suspect of this.suspects.values()) {
            if (suspect.block) {
                continue;
            }
            if (nowMs > suspect.reportUntilMs && nowMs - suspect.lastCrashMs > EVIDENCE_TTL_MS) {
                this.suspects.delete(suspect.part);
                continue;
            }
            const { evidence } = suspect;
            const isConfirmed = evidence >= MIN_EVIDENCE_TO_BLOCK && nowMs - suspect.firstCrashMs >= CONFIRMATION_MS;
            if (isConfirmed && this.isCause(suspect)) {
                suspect.block = { sinceMs: nowMs, trials: 0 };
                this.options.log.warn("prompt part blocked", {
                    part: suspect.part,
                    pool: suspect.pool,
                    crashes: suspect.crashes.size,
                    evidence,
                    others: this.othersSinceFirstCrash(suspect),
                });
            }
        }
    }

    /** Returns true if chance or the state of the upstreams hardly explain the crashes under a suspect. */
    private isCause(suspect: Suspect): boolean {
        const probability = this.soundProbability(suspect);
        return this.beginnings.has(suspect.part)
            ? probability < KNOWN_PART_BLOCK_PROBABILITY
                && this.othersSinceFirstCrash(suspect).begun >= MIN_BEGUN_ATTEMPTS
            : probability < BLOCK_PROBABILITY;
    }

    /** Returns the probability with which a part that is not the cause would collect as much evidence. */
    private soundProbability(suspect: Suspect): number {
        const { begun, crashed } = this.othersSinceFirstCrash(suspect);
        const crashShare = (crashed + PRIOR_CRASHES) / (begun + crashed + PRIOR_ATTEMPTS);
        return crashShare ** suspect.evidence;
    }

    /** Returns this gateway's attempts without the suspect, from shortly before the suspect's first crash. */
    private othersSinceFirstCrash(suspect: Suspect): ReturnType<AttemptHistory["countsSince"]> {
        const sinceMs = suspect.firstCrashMs - CRASH_SHARE_LEAD_MS;
        const { begun, crashed } = this.historyOf(suspect.pool).countsSince(sinceMs);
        const own = [...suspect.crashes.values()].filter(({ isOwn }) => isOwn).length;
        return { begun, crashed: Math.max(0, crashed - own) };
    }

    private historyOf(pool: string): AttemptHistory {
        const history = this.histories.get(pool) ?? AttemptHistory.create(this.options.clock, ATTEMPT_HISTORY_MS);
        this.histories.delete(pool);
        this.histories.set(pool, history);
        if (this.histories.size > MAX_POOLS) {
            this.histories.delete(this.histories.keys().next().value ?? "");
        }
        return history;
    }

    /** Returns how long after the due time this gateway has its turn for a trial; Infinity while others are unknown. */
    private trialTurnMs(part: string, { trials }: Block): number {
        const position = this.options.position();
        if (!position) {
            return Infinity;
        }
        const isIsolated = position.count > 1
            && this.options.clock.monotonicMs() - this.mergedAtMs > ISOLATED_AFTER_MS;
        const turn = (position.index + hash32(part) + trials) % position.count;
        return turn * (isIsolated ? ISOLATED_TRIAL_TURN_MS : TRIAL_TURN_MS);
    }

    private toReport({ part, pool, crashes, block }: Suspect, nowMs: number): CrashSuspect {
        const begun = this.beginnings.get(part);
        return {
            part,
            pool,
            crashes: [...crashes].sort(([left], [right]) => left - right).map(([upstream, { atMs }]) => ({
                upstream,
                ageMs: nowMs - atMs,
            })),
            ...(begun && { begun: { id: begun.id, ageMs: nowMs - begun.atMs } }),
            ...(block && { block: { ageMs: nowMs - block.sinceMs, trials: block.trials } }),
        };
    }
}

function isBlockedSuspect(suspect: Suspect): suspect is Suspect & { block: Block; } {
    return suspect.block !== undefined;
}

function isReported(suspect: Suspect, nowMs: number): boolean {
    return suspect.block !== undefined || suspect.evidence > 1 || nowMs < suspect.reportUntilMs;
}

/** Returns true if all known crashes of `suspect` were crashes of `other` too. */
function explains(other: Suspect, suspect: Suspect): boolean {
    return suspect.crashes.size > 0 && [...suspect.crashes.keys()].every(upstream => other.crashes.has(upstream));
}

/** Recomputes what follows from the crashes of a suspect. */
function updateEvidence(suspect: Suspect): void {
    const timesMs = [...suspect.crashes.values()].map(({ atMs }) => atMs).sort((left, right) => left - right);
    suspect.firstCrashMs = timesMs[0] ?? Infinity;
    suspect.lastCrashMs = timesMs.at(-1) ?? -Infinity;
    suspect.evidence = 0;
    let windowStartMs = -Infinity;
    let inWindow = 0;
    for (const atMs of timesMs) {
        if (atMs - windowStartMs >= COMMON_CAUSE_WINDOW_MS) {
            windowStartMs = atMs;
            inWindow = 0;
        }
        inWindow += 1;
        suspect.evidence += inWindow <= MAX_EVIDENCE_PER_WINDOW ? 1 : 0;
    }
}

function nextTrialAtMs({ sinceMs, trials }: Block): number {
    return sinceMs + Math.min(MAX_TRIAL_DELAY_MS, FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** trials);
}

/** Returns the importance of a suspect: blocked ones first, then by evidence, then by the last crash. */
function rankOf(suspect: Suspect): [number, number, number] {
    return [suspect.block ? 1 : 0, suspect.evidence, suspect.lastCrashMs];
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
    const index = left.findIndex((value, position) => value !== right[position]);
    return index < 0 ? 0 : left[index]! - right[index]!;
}
