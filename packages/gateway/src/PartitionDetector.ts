import type { Clock, Random } from "@fescuehaven/runtime";
import type { Upstream } from "./model/Upstream.js";
import { sampleWithoutReplacement } from "./placement/sampleWithoutReplacement.js";
import type { DecisionLog } from "./ports/DecisionLog.js";
import type { ReachabilityRecorder } from "./ports/ReachabilityRecorder.js";
import type { UpstreamDirectory } from "./UpstreamDirectory.js";

interface PartitionDetectorOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    upstreams: UpstreamDirectory;
    /** Returns true if the upstream responds to a request for a report. */
    probe: (upstream: Upstream) => Promise<boolean>;
    /** Returns true if other gateways receive events from upstreams. */
    doPeersReceiveEvents: () => boolean;
    /** Number of targets with requests in flight of this gateway, and the shortest time without an event from any. */
    ownSilence: () => { targets: number; silentMs: number; };
}

const CHECK_INTERVAL_MS = 100;
/** Number of upstreams that accept no connection, while none responds, from which on a partition is suspected. */
const MIN_UNREACHABLE = 3;
/** Time without any response from which on unreachable upstreams count. */
const UNRESPONSIVE_MS = 300;
/** Silence of all of several targets from which on a partition is suspected; a sound one may be silent for a second. */
const SILENCE_MS = 700;
const MIN_SILENT_TARGETS = 2;
/** Number of upstreams that are probed to confirm a partition. */
const PROBES = 3;
/** With fewer upstreams, one that has crashed could be taken for a partition. */
const MIN_PROBES = 2;
/** A partition that was not confirmed is suspected again after this time at the earliest. */
const RECHECK_AFTER_MS = 1500;
/** Interval of the probes during a partition, which tell when it has ended. */
const RECOVERY_PROBE_INTERVAL_MS = 300;

/**
 * Detects that this gateway is partitioned from the upstreams while other gateways reach them. Then it should get no
 * requests, and conclusions about upstreams from its own view would be wrong. Upstreams that are unreachable for all
 * gateways are no partition of this one.
 */
export class PartitionDetector implements ReachabilityRecorder {
    private readonly unreachable = new Set<string>();
    private lastResponseAtMs: number;
    private lastProbeAtMs = -Infinity;
    private isProbing = false;
    private hasPartition = false;

    private constructor(private readonly options: PartitionDetectorOptions) {
        this.lastResponseAtMs = options.clock.monotonicMs();
    }

    /** Creates a detector. It detects only after `run` was called. */
    static create(options: PartitionDetectorOptions): PartitionDetector {
        return new PartitionDetector(options);
    }

    /** True while this gateway is partitioned from the upstreams and others are not. */
    get isPartitioned(): boolean {
        return this.hasPartition;
    }

    /** True during a partition, and while it is being found out whether there is one; for a few moments at a time. */
    get isSuspected(): boolean {
        return this.hasPartition || this.isProbing || this.mustConfirm;
    }

    /** Records that an upstream has responded. */
    recordResponse(): void {
        this.lastResponseAtMs = this.options.clock.monotonicMs();
        this.unreachable.clear();
        this.setPartitioned(false);
    }

    /** Records that an upstream has accepted no connection. */
    recordUnreachable({ id }: Upstream): void {
        if (this.unreachable.size < MIN_UNREACHABLE) {
            this.unreachable.add(id);
        }
    }

    /** Checks for a partition until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(CHECK_INTERVAL_MS, signal);
            await this.check();
        }
    }

    private get isSuspicious(): boolean {
        const { clock, ownSilence } = this.options;
        const sinceResponseMs = clock.monotonicMs() - this.lastResponseAtMs;
        if (this.unreachable.size >= MIN_UNREACHABLE && sinceResponseMs >= UNRESPONSIVE_MS) {
            return true;
        }
        const { targets, silentMs } = ownSilence();
        return targets >= MIN_SILENT_TARGETS && Math.min(silentMs, sinceResponseMs) >= SILENCE_MS;
    }

    /** True if a partition is suspected that upstreams have not just disproved. */
    private get mustConfirm(): boolean {
        const { clock, doPeersReceiveEvents } = this.options;
        return clock.monotonicMs() - this.lastProbeAtMs >= RECHECK_AFTER_MS && this.isSuspicious
            && doPeersReceiveEvents();
    }

    private async check(): Promise<void> {
        const { clock, random, upstreams, doPeersReceiveEvents } = this.options;
        const nowMs = clock.monotonicMs();
        if (this.hasPartition && !doPeersReceiveEvents()) {
            // Nobody reaches the upstreams, so that requests are as well off here as anywhere.
            this.setPartitioned(false);
            this.lastProbeAtMs = nowMs;
            return;
        }
        const mustProbe = this.hasPartition
            ? nowMs - this.lastProbeAtMs >= RECOVERY_PROBE_INTERVAL_MS
            : this.mustConfirm;
        if (!mustProbe) {
            return;
        }
        const ready = [...upstreams.all()].filter(({ state }) => state === "ready");
        const probed = sampleWithoutReplacement(ready, this.hasPartition ? 1 : PROBES, random);
        this.lastProbeAtMs = nowMs;
        this.isProbing = true;
        const results = await Promise.all(probed.map(upstream => this.options.probe(upstream)));
        this.isProbing = false;
        const hasResponded = results.includes(true) || this.lastResponseAtMs > nowMs;
        if (hasResponded || ready.length < MIN_PROBES) {
            this.recordResponse();
        }
        else {
            this.setPartitioned(true);
        }
    }

    private setPartitioned(isPartitioned: boolean): void {
        if (this.hasPartition === isPartitioned) {
            return;
        }
        this.hasPartition = isPartitioned;
        this.options.log.warn(isPartitioned ? "partitioned from the upstreams" : "partition from the upstreams ended");
    }
}
