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
    /**
     * Number of targets of a service with requests in flight of this gateway, and the shortest time without an event from
     * any.
     */
    ownSilence: (service: string) => { targets: number; silentMs: number; };
    /** Called when a partition was found or has ended. */
    onChange: () => void;
}

/** What this gateway knows of its path to the upstreams of one service. */
interface ServicePath {
    unreachable: Set<string>;
    lastResponseAtMs: number;
    lastProbeAtMs: number;
    isProbing: boolean;
    /** When the partition was found, monotonic; Infinity while there is none. */
    partitionedSinceMs: number;
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
 * Detects from which services this gateway is partitioned: it reaches none of their upstreams. Then it should not send
 * requests there itself, and conclusions about single upstreams from its own view would be wrong. Whether other gateways
 * reach the upstreams is left to the caller.
 */
export class PartitionDetector implements ReachabilityRecorder {
    private readonly paths = new Map<string, ServicePath>();
    /** Version of the directory at the last look for new services. */
    private seenVersion = -1;

    private constructor(private readonly options: PartitionDetectorOptions) {}

    /** Creates a detector. It detects only after `run` was called. */
    static create(options: PartitionDetectorOptions): PartitionDetector {
        return new PartitionDetector(options);
    }

    /** Returns the services from which this gateway is partitioned. */
    partitionedServices(): string[] {
        return [...this.paths].filter(([, path]) => isPartitioned(path)).map(([service]) => service);
    }

    /** Returns true while this gateway reaches no upstream of a service. */
    isPartitionedFrom(service: string): boolean {
        const path = this.paths.get(service);
        return path !== undefined && isPartitioned(path);
    }

    /** True if this gateway is partitioned from a service and no upstream of any other has responded since. */
    get isPartitionedFromAll(): boolean {
        const paths = [...this.paths.values()];
        const sinceMs = Math.min(...paths.map(path => path.partitionedSinceMs));
        return sinceMs < Infinity && paths.every(path => isPartitioned(path) || path.lastResponseAtMs < sinceMs);
    }

    /** Returns true during a partition, and for a few moments at a time while it is being found out if there is one. */
    isSuspectedFor(service: string): boolean {
        const path = this.paths.get(service);
        return path !== undefined && (isPartitioned(path) || path.isProbing || this.mustConfirm(service, path));
    }

    /** Records that an upstream has responded. */
    recordResponse({ service }: Upstream): void {
        const path = this.pathTo(service);
        path.lastResponseAtMs = this.options.clock.monotonicMs();
        path.unreachable.clear();
        this.setPartitioned(service, path, false);
    }

    /** Records that an upstream has accepted no connection. */
    recordUnreachable({ service, id }: Upstream): void {
        const { unreachable } = this.pathTo(service);
        if (unreachable.size < MIN_UNREACHABLE) {
            unreachable.add(id);
        }
    }

    /** Checks for partitions until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(CHECK_INTERVAL_MS, signal);
            this.addServices();
            this.paths.forEach((path, service) => void this.check(service, path));
        }
    }

    private addServices(): void {
        const { upstreams } = this.options;
        if (upstreams.version !== this.seenVersion) {
            this.seenVersion = upstreams.version;
            [...upstreams.all()].forEach(({ service }) => this.pathTo(service));
        }
    }

    private pathTo(service: string): ServicePath {
        let path = this.paths.get(service);
        if (!path) {
            path = {
                unreachable: new Set(),
                lastResponseAtMs: -Infinity,
                lastProbeAtMs: -Infinity,
                isProbing: false,
                partitionedSinceMs: Infinity,
            };
            this.paths.set(service, path);
        }
        return path;
    }

    private isSuspicious(service: string, { unreachable, lastResponseAtMs }: ServicePath): boolean {
        const sinceResponseMs = this.options.clock.monotonicMs() - lastResponseAtMs;
        if (unreachable.size >= MIN_UNREACHABLE && sinceResponseMs >= UNRESPONSIVE_MS) {
            return true;
        }
        const { targets, silentMs } = this.options.ownSilence(service);
        return targets >= MIN_SILENT_TARGETS && Math.min(silentMs, sinceResponseMs) >= SILENCE_MS;
    }

    /** Returns true if a partition is suspected that upstreams have not just disproved. */
    private mustConfirm(service: string, path: ServicePath): boolean {
        return this.options.clock.monotonicMs() - path.lastProbeAtMs >= RECHECK_AFTER_MS
            && this.isSuspicious(service, path);
    }

    private async check(service: string, path: ServicePath): Promise<void> {
        const { clock, random, upstreams, probe } = this.options;
        const nowMs = clock.monotonicMs();
        const mustProbe = isPartitioned(path)
            ? nowMs - path.lastProbeAtMs >= RECOVERY_PROBE_INTERVAL_MS
            : this.mustConfirm(service, path);
        if (!mustProbe || path.isProbing) {
            return;
        }
        const ready = [...upstreams.all()].filter(upstream =>
            upstream.service === service && upstream.state === "ready"
        );
        const probed = sampleWithoutReplacement(ready, isPartitioned(path) ? 1 : PROBES, random);
        path.lastProbeAtMs = nowMs;
        path.isProbing = true;
        const results = await Promise.all(probed.map(upstream => probe(upstream)));
        path.isProbing = false;
        const hasResponded = results.includes(true) || path.lastResponseAtMs > nowMs;
        if (hasResponded || ready.length < MIN_PROBES) {
            path.lastResponseAtMs = clock.monotonicMs();
            path.unreachable.clear();
            this.setPartitioned(service, path, false);
        }
        else {
            this.setPartitioned(service, path, true);
        }
    }

    private setPartitioned(service: string, path: ServicePath, isFound: boolean): void {
        if (isPartitioned(path) === isFound) {
            return;
        }
        path.partitionedSinceMs = isFound ? this.options.clock.monotonicMs() : Infinity;
        this.options.log.warn(isFound ? "partitioned from the upstreams" : "partition from the upstreams ended", {
            service,
        });
        this.options.onChange();
    }
}

function isPartitioned({ partitionedSinceMs }: ServicePath): boolean {
    return partitionedSinceMs < Infinity;
}
