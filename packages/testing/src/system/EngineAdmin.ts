import type { MemberReport } from "@fescuehaven/coordination";
import { request } from "undici";
import type { EngineFaults } from "../standins/EngineFaults.js";

/** Timeout of one request. */
const TIMEOUT_MS = 5000;

/** Counters of a stand-in engine. */
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

/** Client of a stand-in engine for tests and tools: reads its report and counters, and sets faults. Throws on failure. */
export class EngineAdmin {
    private constructor(private readonly url: string) {}

    /** Creates a client of the engine at `url`. */
    static create(url: string): EngineAdmin {
        return new EngineAdmin(url);
    }

    /** Returns the engine's report about itself. */
    async report(): Promise<MemberReport> {
        return (await this.get("/v1/report")) as MemberReport;
    }

    /** Returns the stand-in's counters. */
    async counters(): Promise<EngineCounters> {
        return (await this.get("/test/counters")) as EngineCounters;
    }

    /** Sets faults; omitted fields keep their values. */
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
