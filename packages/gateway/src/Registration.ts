import { Backoff } from "@fescuehaven/coordination";
import type { ObjectKey, ObjectStore, StoredObject } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import { z } from "zod";
import type { DecisionLog } from "./ports/DecisionLog.js";
import { WakeSignal } from "./util/WakeSignal.js";

interface RegistrationOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    store: ObjectStore;
    key: ObjectKey;
    /** Address at which peers reach this gateway, HOST:PORT. */
    address: string;
    zone: string;
    /** Address at which this gateway relays requests of others to upstreams, HOST:PORT. */
    relayAddress?: string;
    /** Processor time of the VM, in cores; undefined if the settings do not state it. */
    processorCores?: number;
}

const BACKOFF_FIRST_MS = 200;
const BACKOFF_MAX_MS = 2000;

const registrationSchema = z.object({
    address: z.string().min(1),
    zone: z.string(),
    relayAddress: z.string().optional(),
    processorCores: z.number().positive().optional().catch(undefined),
});

/** Registers this gateway in the store, where its peers find its address. */
export class Registration {
    private readonly lost = WakeSignal.create();
    private isWritten = false;

    private constructor(private readonly options: RegistrationOptions) {}

    /** Creates a registration. It is written only after `run` was called. */
    static create(options: RegistrationOptions): Registration {
        return new Registration(options);
    }

    /** Returns what a gateway has registered, or undefined if the object is invalid. */
    read(object: StoredObject): z.infer<typeof registrationSchema> | undefined {
        const parsed = registrationSchema.safeParse(object.value);
        if (!parsed.success) {
            this.options.log.warn("invalid gateway registration", { peer: object.name });
            return undefined;
        }
        return parsed.data;
    }

    /** Writes the registration again if the store lacks it. */
    writeAgain(): void {
        this.isWritten = false;
        this.lost.notify();
    }

    /** Keeps the registration in the store until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.isWritten = true;
            await this.write(signal);
            if (this.isWritten) {
                await this.lost.wait(signal);
            }
        }
    }

    /** Tries to write the registration until the store contains it or `signal` aborts. */
    private async write(signal: AbortSignal): Promise<void> {
        const { clock, random, store, key, address, zone, relayAddress, processorCores } = this.options;
        const value = {
            address,
            zone,
            ...(relayAddress !== undefined && { relayAddress }),
            ...(processorCores !== undefined && { processorCores }),
        };
        const backoff = Backoff.create({ random, firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS });
        while (!signal.aborted) {
            const current = await store.read(key, "status");
            const stored = current.kind === "found" ? this.read(current.object) : undefined;
            const isStored = stored?.address === address && stored.relayAddress === relayAddress
                && stored.processorCores === processorCores;
            if (isStored) {
                return;
            }
            if (current.kind !== "unavailable") {
                const expected = current.kind === "found" ? current.object.revision : 0;
                const outcome = await store.write(key, value, expected, "status", current.era ?? 0);
                if (outcome.kind === "committed") {
                    return;
                }
            }
            await clock.sleep(backoff.nextMs(), signal);
        }
    }
}
