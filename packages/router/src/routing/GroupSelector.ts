import type { Random } from "@fescuehaven/runtime";
import type { UpstreamLimits } from "../limits/UpstreamLimits.js";
import { hash32 } from "../util/hash32.js";
import type { GroupAccess } from "./GroupAccess.js";
import type { GroupSlot } from "./GroupSlot.js";
import type { OpenGroup } from "./OpenGroup.js";
import type { TokenPace } from "./TokenPace.js";

interface GroupSelectorOptions {
    access: GroupAccess;
    limits: UpstreamLimits;
    pace: TokenPace;
    random: Random;
    /** Asked for newest observation of a head, to settle resets. */
    observedAtMs: (vm: string) => number | undefined;
}

interface Candidate extends OpenGroup {
    /** Part of the own share in use, with others' reported load; lower is better. */
    load: number;
}

/** Characters at the start of a prompt that decide which group is likely to hold its prefix. */
const PREFIX_CHARACTERS = 512;
/** The group of the prefix is taken while its load is at most this many times the mean. */
const BOUNDED_LOAD_FACTOR = 1.25;
/** Reported load lags and holds this router's own calls too, so it counts only in part. */
const REPORTED_LOAD_WEIGHT = 0.5;

/**
 * Chooses among the open groups of a model version: the one likely to hold the prompt's prefix while it is not loaded
 * above the mean, else the less loaded of two drawn at random.
 */
export class GroupSelector {
    private constructor(private readonly options: GroupSelectorOptions) {}

    /** Creates a selector. */
    static create(options: GroupSelectorOptions): GroupSelector {
        return new GroupSelector(options);
    }

    /** True when a group of the version may take requests, whether or not it has a free slot. */
    hasOpen(modelVersion: string): boolean {
        return this.options.access.listOpen(modelVersion).length > 0;
    }

    /** Notes an answer of `tokenCount` tokens that took `durationMs`, so that slow groups get less. */
    recordResponse(group: string, modelVersion: string, tokenCount: number, durationMs: number): void {
        const names = this.options.access.listOpen(modelVersion).map(open => open.upstream.name);
        this.options.pace.note(group, tokenCount, durationMs);
        if (this.options.pace.isOutlier(group, names)) {
            this.options.limits.slow(group);
        }
    }

    /** Takes a slot at a group, avoiding those in `excluded` where there are others; undefined when none is free. */
    tryAcquire(modelVersion: string, prompt: string, excluded: ReadonlySet<string>): GroupSlot | undefined {
        const open = this.options.access.listOpen(modelVersion);
        open.forEach(group => this.settleReset(group));
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
            const slowness = this.options.pace.slowness(name, names);
            const allowed = this.options.limits.allowed(group.upstream) / slowness;
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
        const preferred = byRendezvous(candidates, prompt.slice(0, PREFIX_CHARACTERS));
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

    private settleReset(group: OpenGroup): void {
        const observedAtMs = this.options.observedAtMs(group.evidence.headVm);
        if (observedAtMs !== undefined) {
            this.options.limits.proven(group.upstream, observedAtMs);
        }
    }
}

function byRendezvous(candidates: readonly Candidate[], prefix: string): Candidate | undefined {
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
