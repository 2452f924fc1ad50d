import type { StoredObject, VmRecord } from "@fescuehaven/platform";
import type { ResourceKind, ResourceValue } from "@fescuehaven/resources";
import { request } from "undici";
import type { PlatformFaults } from "../standins/PlatformFaults.js";
import type { NamedObject } from "./NamedObject.js";

/** Timeout of one request. */
const TIMEOUT_MS = 10_000;

/** Client of the platform's stand-in for tests and tools: reads and writes objects, sets faults. Throws on failure. */
export class PlatformAdmin {
    private constructor(private readonly url: string) {}

    /** Creates a client of the platform at `url`. */
    static create(url: string): PlatformAdmin {
        return new PlatformAdmin(url);
    }

    /** Returns the object, or undefined if it does not exist. */
    async get<K extends ResourceKind>(kind: K, name: string): Promise<StoredObject<ResourceValue<K>> | undefined> {
        const { status, body } = await this.call("GET", `/v1/objects/${kind}/${name}`);
        if (status !== 200 && status !== 404) {
            throw new Error(`Reading ${kind}/${name} returned ${status}: ${JSON.stringify(body)}.`);
        }
        return status === 200 ? body as StoredObject<ResourceValue<K>> : undefined;
    }

    /** Creates an object or overwrites the current one; returns the new revision. */
    async put({ kind, name, value }: NamedObject): Promise<number> {
        const current = await this.get(kind, name);
        const headers = { "if-match": String(current?.revision ?? 0) };
        const { status, body } = await this.call("PUT", `/v1/objects/${kind}/${name}`, { value }, headers);
        if (status !== 200) {
            throw new Error(`Writing ${kind}/${name} returned ${status}: ${JSON.stringify(body)}.`);
        }
        return (body as { revision: number; }).revision;
    }

    /** Writes objects one after the other. */
    async putAll(objects: readonly NamedObject[]): Promise<void> {
        for (const object of objects) {
            await this.put(object);
        }
    }

    /** Removes an object if it exists. */
    async remove(kind: ResourceKind, name: string): Promise<void> {
        const current = await this.get(kind, name);
        if (current) {
            const headers = { "if-match": String(current.revision) };
            const { status, body } = await this.call("DELETE", `/v1/objects/${kind}/${name}`, undefined, headers);
            if (status !== 200) {
                throw new Error(`Removing ${kind}/${name} returned ${status}: ${JSON.stringify(body)}.`);
            }
        }
    }

    /** Sets faults; omitted fields keep their values. */
    async setFaults(faults: PlatformFaults): Promise<void> {
        await this.call("POST", "/test/faults", faults);
    }

    /** Replaces the list of VMs. */
    async setVms(vms: VmRecord[]): Promise<void> {
        await this.setFaults({ vms });
    }

    /** Returns the stand-in's counters. */
    async counters(): Promise<Record<string, unknown>> {
        return (await this.call("GET", "/test/counters")).body as Record<string, unknown>;
    }

    private async call(
        method: "GET" | "PUT" | "POST" | "DELETE",
        path: string,
        body?: object,
        headers: Record<string, string> = {},
    ): Promise<{ status: number; body: unknown; }> {
        const response = await request(`${this.url}${path}`, {
            method,
            headers: body ? { "content-type": "application/json", ...headers } : headers,
            body: body && JSON.stringify(body),
            signal: AbortSignal.timeout(TIMEOUT_MS),
        });
        return { status: response.statusCode, body: await response.body.json() };
    }
}
