import type { Clock } from "@fescuehaven/runtime";
import type { ProcessUsage } from "./ProcessUsage.js";
import { readProcessUsage } from "./readProcessUsage.js";

/** What a process used over a span of time. */
interface UsageSpan {
    /** Processor time as a part of one core. */
    cpuCores: number;
    cpuSeconds: number;
    residentMiB: number;
    kilobytesPerSecond: number;
}

/** Measures what processes use from its creation on. */
export class UsageMeter {
    private constructor(
        private readonly clock: Clock,
        private readonly startMs: number,
        private readonly before: ReadonlyMap<number, ProcessUsage>,
    ) {}

    /** Starts to measure the processes. */
    static async create(clock: Clock, pids: readonly number[]): Promise<UsageMeter> {
        const entries = await Promise.all(pids.map(async pid => [pid, await readProcessUsage(pid)] as const));
        return new UsageMeter(clock, clock.monotonicMs(), new Map(entries));
    }

    /** What each process used since the creation, in the order of the process ids given then. */
    async read(): Promise<UsageSpan[]> {
        const seconds = (this.clock.monotonicMs() - this.startMs) / 1000;
        return Promise.all([...this.before].map(async ([pid, before]) => {
            const now = await readProcessUsage(pid);
            const cpuSeconds = now.cpuSeconds - before.cpuSeconds;
            return {
                cpuCores: cpuSeconds / seconds,
                cpuSeconds,
                residentMiB: now.residentMiB,
                kilobytesPerSecond: (now.transferredBytes - before.transferredBytes) / 1000 / seconds,
            };
        }));
    }
}
