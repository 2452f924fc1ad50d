import type { MemberReport } from "@fescuehaven/coordination";
import { request } from "undici";
import type { EngineFaults } from "../standins/EngineFaults.js";

/** Longest wait for an answer, ms. */
const TIMEOUT_MS = 5000;

/** Counts of a stand-in engine. */
interface EngineCounters {
    generateCalls: number;
    wrongEpoch: number;
    memberMissing: number;
    loads: number;
    refences: number;
    staleOrders: number;
    started: number;
    completed: number;
    broken: number;
    overloadFalls: number;
    peakRequests: number;
    peakOverCapacity: number;
    capacity: number;
}

/** A stand-in engine as tests and tools use it: its report, counts and faults. Throws on failure. */
export class EngineAdmin {
    private constructor(private readonly url: string) {}

    /** Creates the admin of the engine at `url`. */
    static create(url: string): EngineAdmin {
        return new EngineAdmin(url);
    }

    /** What the engine says of itself. */
    async report(): Promise<MemberReport> {
        return (await this.get("/v1/report")) as MemberReport;
    }

    /** The stand-in's counts. */
    async counters(): Promise<EngineCounters> {
        return (await this.get("/test/counters")) as EngineCounters;
    }

    /** Sets faults; fields left out stay as they are. */
    async setFaults(faults: EngineFaults): Promise<void> {
        const response = await request(`${this.url}/test/faults`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(faults),
            signal: AbortSignal.timeout(TIMEOUT_MS),
        });
        await response.body.dump();
    }

    private async get(path: string): Promise<unknown> {
        const response = await request(`${this.url}${path}`, { signal: AbortSignal.timeout(TIMEOUT_MS) });
        return response.body.json();
    }
}
