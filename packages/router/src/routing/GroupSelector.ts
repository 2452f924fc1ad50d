import type { Random } from "@fescuehaven/runtime";
import type { UpstreamLimits } from "../limits/UpstreamLimits.js";
import { hash32 } from "../util/hash32.js";
import type { GroupAccess } from "./GroupAccess.js";
import type { GroupSlot } from "./GroupSlot.js";
import type { OpenGroup } from "./OpenGroup.js";
import type { TokenLatencyTracker } from "./TokenLatencyTracker.js";

interface GroupSelectorOptions {
    access: GroupAccess;
    limits: UpstreamLimits;
    tokenLatency: TokenLatencyTracker;
    random: Random;
    /** Returns the time of the newest observation of a head VM, on the monotonic clock; used to undo resets. */
    observedAtMs: (vm: string) => number | undefined;
}

interface Candidate extends OpenGroup {
    /** Fraction of this router's share in use, including part of the reported load of others; lower is better. */
    load: number;
}

/** Characters of a prompt's start that are hashed to find the group that is likely to have its prefix cached. */
const PREFIX_CHARACTERS = 512;
/** The group chosen by prefix is used while its load is at most this many times the mean. */
const BOUNDED_LOAD_FACTOR = 1.25;
/** Reported load is delayed and includes this router's own calls, so it counts only in part. */
const REPORTED_LOAD_WEIGHT = 0.5;

/**
 * Chooses among the open groups of a model version: the group that is likely to have the prompt's prefix cached, unless
 * its load is too far above the mean; otherwise the less loaded of two random groups.
 */
export class GroupSelector {
    private constructor(private readonly options: GroupSelectorOptions) {}

    /** Creates a selector. */
    static create(options: GroupSelectorOptions): GroupSelector {
        return new GroupSelector(options);
    }

    /** Returns true when a group of the version may receive requests, whether or not it has a free slot. */
    hasOpen(modelVersion: string): boolean {
        return this.options.access.listOpen(modelVersion).length > 0;
    }

    /** Returns true when this router's share of an open group's limit allows requests, whether or not a slot is free. */
    hasShare(modelVersion: string): boolean {
        return this.options.access.listOpen(modelVersion).some(({ upstream }) =>
            this.options.limits.allowed(upstream) > 0
        );
    }

    /** Records a response of `tokenCount` tokens that took `durationMs`, so that slow groups get fewer requests. */
    recordResponse(group: string, modelVersion: string, tokenCount: number, durationMs: number): void {
        const names = this.options.access.listOpen(modelVersion).map(open => open.upstream.name);
        this.options.tokenLatency.record(group, tokenCount, durationMs);
        if (this.options.tokenLatency.isOutlier(group, names)) {
            this.options.limits.recordSlowness(group);
        }
    }

    /** Acquires a slot; uses groups in `excluded` only when there are no others. Undefined when none is free. */
    tryAcquire(modelVersion: string, prompt: string, excluded: ReadonlySet<string>): GroupSlot | undefined {
        const open = this.options.access.listOpen(modelVersion);
        open.forEach(group => this.recordHeadObservation(group));
        const others = open.filter(group => !excluded.has(group.upstream.name));
        const candidates = this.withFreeSlots(others.length > 0 ? others : open);
        const chosen = this.choose(candidates, prompt);
        const lease = chosen && this.options.limits.tryAcquire(chosen.upstream);
        return chosen && lease
            ? { kind: "group", group: chosen.upstream.name, upstream: chosen.upstream, lease }
            : undefined;
    }

    private withFreeSlots(groups: readonly OpenGroup[]): Candidate[] {
        const names = groups.map(group => group.upstream.name);
        const candidates: Candidate[] = [];
        for (const group of groups) {
            const { name } = group.upstream;
            const slowdownFactor = this.options.tokenLatency.slowdownFactor(name, names);
            const allowed = this.options.limits.allowed(group.upstream) / slowdownFactor;
            const inFlight = this.options.limits.inFlight(name);
            if (inFlight < Math.max(1, allowed) && this.options.limits.allowed(group.upstream) > inFlight) {
                const others = Math.max(0, group.evidence.reportedLoad - inFlight) * REPORTED_LOAD_WEIGHT;
                candidates.push({ ...group, load: (inFlight + others + 1) / Math.max(1, allowed) });
            }
        }
        return candidates;
    }

    private choose(candidates: readonly Candidate[], prompt: string): Candidate | undefined {
        if (candidates.length <= 1) {
            return candidates[0];
        }
        const meanLoad = candidates.reduce((sum, candidate) => sum + candidate.load, 0) / candidates.length;
        const preferred = chooseByRendezvousHash(candidates, prompt.slice(0, PREFIX_CHARACTERS));
        if (preferred && preferred.load <= meanLoad * BOUNDED_LOAD_FACTOR) {
            return preferred;
        }
        return this.lessLoadedOfTwo(candidates);
    }

    private lessLoadedOfTwo(candidates: readonly Candidate[]): Candidate | undefined {
        const first = Math.floor(this.options.random.next() * candidates.length);
        const step = 1 + Math.floor(this.options.random.next() * (candidates.length - 1));
        const one = candidates[first];
        const other = candidates[(first + step) % candidates.length];
        return one && other && other.load < one.load ? other : one;
    }

    private recordHeadObservation(group: OpenGroup): void {
        const observedAtMs = this.options.observedAtMs(group.evidence.headVm);
        if (observedAtMs !== undefined) {
            this.options.limits.recordObservation(group.upstream, observedAtMs);
        }
    }
}

function chooseByRendezvousHash(candidates: readonly Candidate[], prefix: string): Candidate | undefined {
    const prefixHash = hash32(prefix);
    let best: { candidate: Candidate; weight: number; } | undefined;
    for (const candidate of candidates) {
        const weight = hash32(`${prefixHash} ${candidate.upstream.name}`);
        if (!best || weight > best.weight) {
            best = { candidate, weight };
        }
    }
    return best?.candidate;
}
