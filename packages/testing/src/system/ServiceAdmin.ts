import { request } from "undici";
import type { Executions } from "../callers/Executions.js";
import type { ServiceFaults } from "../standins/ServiceFaults.js";

/** Longest wait for an answer, ms. */
const TIMEOUT_MS = 5000;

/** The stand-in of a plain service as tests and tools use it. Throws on failure. */
export class ServiceAdmin {
    private constructor(private readonly url: string) {}

    /** Creates the admin of the service at `url`. */
    static create(url: string): ServiceAdmin {
        return new ServiceAdmin(url);
    }

    /** What the service executed. */
    async executions(): Promise<Executions> {
        const response = await request(`${this.url}/test/executions`, { signal: AbortSignal.timeout(TIMEOUT_MS) });
        return (await response.body.json()) as Executions;
    }

    /** Sets faults; fields left out stay as they are. */
    async setFaults(faults: ServiceFaults): Promise<void> {
        const response = await request(`${this.url}/test/faults`, {
            method: "POST",
            body: JSON.stringify(faults),
            signal: AbortSignal.timeout(TIMEOUT_MS),
        });
        await response.body.dump();
    }
}
