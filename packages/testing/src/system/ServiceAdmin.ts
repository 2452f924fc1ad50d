import { request } from "undici";
import type { Executions } from "../callers/Executions.js";
import type { ServiceFaults } from "../standins/ServiceFaults.js";

/** Timeout of one request. */
const TIMEOUT_MS = 5000;

/** Client of a plain service's stand-in for tests and tools. Throws on failure. */
export class ServiceAdmin {
    private constructor(private readonly url: string) {}

    /** Creates a client of the service at `url`. */
    static create(url: string): ServiceAdmin {
        return new ServiceAdmin(url);
    }

    /** Returns the calls that the service executed. */
    async executions(): Promise<Executions> {
        const response = await request(`${this.url}/test/executions`, { signal: AbortSignal.timeout(TIMEOUT_MS) });
        return (await response.body.json()) as Executions;
    }

    /** Sets faults; omitted fields keep their values. */
    async setFaults(faults: ServiceFaults): Promise<void> {
        const response = await request(`${this.url}/test/faults`, {
            method: "POST",
            body: JSON.stringify(faults),
            signal: AbortSignal.timeout(TIMEOUT_MS),
        });
        await response.body.dump();
    }
}
