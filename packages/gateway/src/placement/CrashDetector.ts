import { hash32 } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";
import type { DecisionLog } from "../ports/DecisionLog.js";
import { AttemptHistories } from "./AttemptHistories.js";
import type { AttemptHistory } from "./AttemptHistory.js";
import { BegunResponses } from "./BegunResponses.js";
import type { CrashAdmission } from "./CrashAdmission.js";
import type { CrashEvidence } from "./CrashEvidence.js";
import type { CrashSuspect } from "./CrashSuspect.js";
import type { GatewayPosition } from "./GatewayPosition.js";
import { Suspect } from "./Suspect.js";
import type { SuspectCriteria } from "./suspectCriteria.js";
import { SuspectTable } from "./SuspectTable.js";

interface CrashDetectorOptions {
    clock: Clock;
    log: DecisionLog;
    /** Position of this gateway among the registered ones; undefined while it is not known. */
    position: () => GatewayPosition | undefined;
    criteria: SuspectCriteria;
}

type Block = NonNullable<Suspect["block"]>;

/** Evidence below which a part is never blocked, and below which its requests are retried as usual. */
const MIN_EVIDENCE_TO_BLOCK = 3;
const MIN_EVIDENCE_TO_DENY_RETRY = 2;
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
/** Limits of a report to another gateway. */
const MAX_REPORTED_SUSPECTS = 32;
const MAX_REPORTED_CLEARED_PARTS = 64;

/**
 * Finds parts of requests that crash every upstream that begins to respond to them, and blocks requests with such a part:
 * parts of prompts, or the fingerprint of a whole request, according to the criteria. A response that has begun clears
 * all parts of its request. A part of a prompt is blocked if upstreams crash under it repeatedly and more often than the
 * share of crashing attempts explains. Gateways share their evidence, because each of them
 * handles only some of the requests.
 */
export class CrashDetector {
    private readonly suspects = SuspectTable.create();
    private readonly begunResponses = BegunResponses.create();
    private readonly histories: AttemptHistories;
    private checkedAtMs = -Infinity;
    /** When another gateway last reported evidence. */
    private mergedAtMs = -Infinity;
    /** True if there is evidence that has not been checked yet. */
    private isOutdated = false;

    private constructor(private readonly options: CrashDetectorOptions) {
        this.histories = AttemptHistories.create(options.clock, ATTEMPT_HISTORY_MS);
    }

    /** Creates a detector without evidence. */
    static create(options: CrashDetectorOptions): CrashDetector {
        return new CrashDetector(options);
    }

    /**
     * Decides whether a request may be sent to an upstream. One request with a blocked part is allowed now and then as a
     * trial, by one gateway of the fleet.
     */
    admit(parts: readonly string[]): CrashAdmission {
        const suspect = this.findBlocking(parts);
        if (!suspect) {
            return { kind: "allowed" };
        }
        const { part, block } = suspect;
        const nowMs = this.options.clock.monotonicMs();
        const untilTrialMs = nextTrialAtMs(block) - nowMs;
        if (untilTrialMs + this.trialTurnMs(part, block) <= 0) {
            suspect.block = { sinceMs: nowMs, trials: block.trials + 1 };
            this.options.log.info(`trial of a blocked ${this.options.criteria.name}`, {
                part,
                trials: suspect.block.trials,
            });
            return { kind: "trial" };
        }
        const { refusalReason } = this.options.criteria;
        return { kind: "blocked", part, reason: refusalReason, retryAfterMs: Math.max(TRIAL_TURN_MS, untilTrialMs) };
    }

    /** Returns true if requests with these parts are blocked. */
    isBlocked(parts: readonly string[]): boolean {
        return this.findBlocking(parts) !== undefined;
    }

    /** Returns true if a request may be sent to another upstream after one has crashed under it. */
    mayRetry(parts: readonly string[]): boolean {
        const { evidenceOf, denyRetryProbability, mayBeExplained } = this.options.criteria;
        const blocked = this.suspects.blocked();
        return !parts.some(part => {
            const suspect = this.suspects.get(part);
            return suspect && evidenceOf(suspect) >= MIN_EVIDENCE_TO_DENY_RETRY
                && this.soundProbability(suspect) < denyRetryProbability
                && !(mayBeExplained
                    && blocked.some(other =>
                        other !== suspect && suspect.isExplainedBy(other) && !parts.includes(other.part)
                    ));
        });
    }

    /** Records that an upstream has sent the first event of a response to a prompt with these parts. */
    recordBegun(parts: readonly string[], pool = ""): void {
        this.histories.of(pool).record("begun");
        const atMs = this.options.clock.monotonicMs();
        const id = hash32(`${this.options.position()?.index}/${atMs}`);
        parts.forEach(part => this.setBegun(part, { id, atMs }));
    }

    /** Records that an upstream ended before the first event; `upstream` identifies the start of its process. */
    recordCrash(parts: readonly string[], upstream: string, pool = ""): void {
        this.histories.of(pool).record("crashed");
        const crash = { atMs: this.options.clock.monotonicMs(), isOwn: true };
        parts.forEach(part => this.addCrash(part, pool, hash32(upstream), crash));
        this.blockSuspects();
    }

    /** Returns the evidence for other gateways: all blocked parts, and the suspects with most evidence. */
    state(): CrashEvidence {
        this.blockSuspects();
        const nowMs = this.options.clock.monotonicMs();
        const reported = this.suspects.all()
            .filter(suspect => suspect.isReported(nowMs))
            .sort((left, right) => right.compareTo(left) || (left.part < right.part ? -1 : 1));
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
                if (begun.ageMs < Suspect.reportedForMs) {
                    // Relayed, as the gateways that follow this one may know of crashes.
                    this.suspects.getOrAdd(part, pool);
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
        if (this.suspects.isEmpty) {
            return undefined;
        }
        this.blockSuspects();
        const blocked = this.suspects.blocked();
        return blocked.find(suspect =>
            parts.includes(suspect.part)
            && (!this.options.criteria.mayBeExplained || blocked.every(other =>
                other === suspect || !suspect.isExplainedBy(other)
                || (other.isExplainedBy(suspect) && parts.includes(other.part))
            ))
        );
    }

    private begunAtMs(part: string): number {
        return this.begunResponses.get(part)?.atMs ?? -Infinity;
    }

    private setBegun(part: string, reported: { id: number; atMs: number; }): void {
        const suspect = this.begunResponses.record(part, reported) ? this.suspects.get(part) : undefined;
        if (!suspect) {
            return;
        }
        const hadCrashes = suspect.crashes.size > 0;
        if (!suspect.clearUntil(reported.atMs)) {
            return;
        }
        suspect.reportFrom(reported.atMs);
        if (suspect.block && (hadCrashes || reported.atMs > suspect.block.sinceMs)) {
            this.options.log.info(`${this.options.criteria.name} is no longer blocked`, {
                part,
                trials: suspect.block.trials,
            });
            suspect.block = undefined;
        }
    }

    private addCrash(part: string, pool: string, upstream: number, crash: { atMs: number; isOwn: boolean; }): void {
        const suspect = this.suspects.getOrAdd(part, pool);
        if (crash.atMs <= this.begunAtMs(part)) {
            // A gateway that reports it has not learned yet that a response has begun since.
            suspect.reportFrom(this.options.clock.monotonicMs());
        }
        else if (suspect.addCrash(pool, upstream, crash)) {
            this.isOutdated = true;
        }
    }

    private adoptBlock(part: string, pool: string, block: Block): void {
        const suspect = this.suspects.getOrAdd(part, pool);
        if (!suspect.block) {
            this.options.log.warn(`${this.options.criteria.name} blocked`, {
                part,
                crashes: suspect.crashes.size,
                isReported: true,
            });
        }
        if (!suspect.block || block.trials > suspect.block.trials) {
            suspect.block = block;
        }
    }

    /** Blocks suspects with enough evidence, and forgets old evidence. */
    private blockSuspects(): void {
        const nowMs = this.options.clock.monotonicMs();
        if (!this.isOutdated && nowMs - this.checkedAtMs < CHECK_INTERVAL_MS) {
            return;
        }
        this.checkedAtMs = nowMs;
        this.isOutdated = false;
        for (const suspect of this.suspects.all()) {
            if (suspect.block) {
                continue;
            }
            if (suspect.isExpired(nowMs, EVIDENCE_TTL_MS)) {
                this.suspects.delete(suspect.part);
                continue;
            }
            const evidence = this.options.criteria.evidenceOf(suspect);
            const isConfirmed = evidence >= MIN_EVIDENCE_TO_BLOCK && nowMs - suspect.firstCrashMs >= CONFIRMATION_MS;
            if (isConfirmed && this.isCause(suspect)) {
                const isKnown = this.begunResponses.get(suspect.part) !== undefined;
                suspect.block = { sinceMs: nowMs, trials: isKnown ? this.options.criteria.knownBlockTrials : 0 };
                this.options.log.warn(`${this.options.criteria.name} blocked`, {
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
        const { blockProbability, knownBlockProbability, minKnownSpanMs } = this.options.criteria;
        return this.begunResponses.get(suspect.part)
            ? probability < knownBlockProbability && suspect.spanMs >= minKnownSpanMs
                && this.othersSinceFirstCrash(suspect).begun >= MIN_BEGUN_ATTEMPTS
            : probability < blockProbability;
    }

    /** Returns the probability with which a part that is not the cause would collect as much evidence. */
    private soundProbability(suspect: Suspect): number {
        const { begun, crashed } = this.othersSinceFirstCrash(suspect);
        const crashShare = (crashed + PRIOR_CRASHES) / (begun + crashed + PRIOR_ATTEMPTS);
        return crashShare ** this.options.criteria.evidenceOf(suspect);
    }

    /** Returns this gateway's attempts without the suspect, from shortly before the suspect's first crash. */
    private othersSinceFirstCrash(suspect: Suspect): ReturnType<AttemptHistory["countsSince"]> {
        const sinceMs = suspect.firstCrashMs - CRASH_SHARE_LEAD_MS;
        const { begun, crashed } = this.histories.of(suspect.pool).countsSince(sinceMs);
        return { begun, crashed: Math.max(0, crashed - suspect.ownCrashCount) };
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
        const begun = this.begunResponses.get(part);
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

function nextTrialAtMs({ sinceMs, trials }: Block): number {
    return sinceMs + Math.min(MAX_TRIAL_DELAY_MS, FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** trials);
}
