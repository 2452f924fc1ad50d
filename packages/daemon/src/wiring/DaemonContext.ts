import { CallLimiter, HttpObjectStore, HttpVmDirectory, PlatformHttp } from "@fescuehaven/platform";
import type { ObjectStore, VmDirectory } from "@fescuehaven/platform";
import { type Clock, type Random, SystemClock, SystemRandom } from "@fescuehaven/runtime";
import {
    ConsoleLogger,
    EventRing,
    HybridClock,
    type Logger,
    type Metrics,
    NoMetrics,
    StatsdMetrics,
} from "@fescuehaven/telemetry";
import type { DaemonSettings } from "../DaemonSettings.js";

/** Longest time that a platform call waits for the rate limit. */
const MAX_RATE_LIMIT_WAIT_MS = 2000;

/** Services that every daemon uses: clock, randomness, telemetry and the platform. */
export class DaemonContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly hybridClock: HybridClock;
    readonly events: EventRing;
    readonly metrics: Metrics;
    readonly store: ObjectStore;
    readonly vmDirectory: VmDirectory;
    private readonly http: PlatformHttp;
    private readonly statsd: StatsdMetrics | undefined;

    private constructor(readonly settings: DaemonSettings) {
        this.clock = SystemClock.create();
        this.random = SystemRandom.create();
        this.hybridClock = HybridClock.create(this.clock);
        this.events = EventRing.create({
            hybridClock: this.hybridClock,
            process: settings.process,
            zone: settings.zone,
            capacity: settings.timelineEvents,
        });
        this.statsd = settings.metrics && StatsdMetrics.create({
            ...settings.metrics,
            tags: { process: settings.process, zone: settings.zone },
        });
        this.metrics = this.statsd ?? NoMetrics.create();
        this.http = PlatformHttp.create({
            url: settings.platform.url,
            timeoutMs: settings.platform.timeoutMs,
            localAddress: settings.localAddress,
            clock: this.clock,
        });
        const limiter = CallLimiter.create({
            clock: this.clock,
            callsPerSecond: settings.platform.callsPerSecond,
            maxWaitMs: MAX_RATE_LIMIT_WAIT_MS,
        });
        this.store = HttpObjectStore.create({ http: this.http, limiter });
        this.vmDirectory = HttpVmDirectory.create({ http: this.http, limiter });
    }

    /** Creates the context from validated settings. */
    static create(settings: DaemonSettings): DaemonContext {
        return new DaemonContext(settings);
    }

    /** Creates the logger of one part of the process. */
    logger(part: string): Logger {
        const { level, format } = this.settings.logging;
        return ConsoleLogger.create({ clock: this.clock, level, format, part, process: this.settings.process });
    }

    /** Closes connections and sends buffered metrics. */
    async close(): Promise<void> {
        await this.http.close();
        await this.statsd?.close();
    }
}
