import type { Clock } from "@fescuehaven/runtime";
import type { ProcessUsage } from "./ProcessUsage.js";
import { readProcessUsage } from "./readProcessUsage.js";

/** Resources that a process used during a period. */
interface UsageSpan {
    /** Mean processor use, in cores. */
    cpuCores: number;
    cpuSeconds: number;
    residentMiB: number;
    kilobytesPerSecond: number;
}

/** Measures the resources that processes use after the meter was created. */
export class UsageMeter {
    private constructor(
        private readonly clock: Clock,
        private readonly startMs: number,
        private readonly before: ReadonlyMap<number, ProcessUsage>,
    ) {}

    /** Starts measuring the processes. Throws if one of them does not exist. */
    static async create(clock: Clock, pids: readonly number[]): Promise<UsageMeter> {
        const entries = await Promise.all(pids.map(async pid => [pid, await readProcessUsage(pid)] as const));
        return new UsageMeter(clock, clock.monotonicMs(), new Map(entries));
    }

    /** Returns the usage of each process since the meter was created, in the order of the given process ids. */
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
