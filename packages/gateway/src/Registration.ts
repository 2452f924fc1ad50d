import { Backoff } from "@fescuehaven/coordination";
import type { ObjectKey, ObjectStore, StoredObject } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import { z } from "zod";
import type { DecisionLog } from "./ports/DecisionLog.js";

interface RegistrationOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    store: ObjectStore;
    key: ObjectKey;
    /** Where peers reach this gateway, HOST:PORT. */
    address: string;
    zone: string;
}

/** Waits between tries, ms. */
const BACKOFF_FIRST_MS = 200;
const BACKOFF_MAX_MS = 2000;

const registrationSchema = z.object({ address: z.string().min(1), zone: z.string() });

/** Makes this gateway known to its peers through the store. */
export class Registration {
    private constructor(private readonly options: RegistrationOptions) {}

    /** Creates the registration; it writes once `run`. */
    static create(options: RegistrationOptions): Registration {
        return new Registration(options);
    }

    /** Where a registered gateway is. */
    read(object: StoredObject): z.infer<typeof registrationSchema> | undefined {
        const parsed = registrationSchema.safeParse(object.value);
        if (!parsed.success) {
            this.options.log.warn("registration unreadable", { peer: object.name });
            return undefined;
        }
        return parsed.data;
    }

    /** Writes the registration until it stands or `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, random, store, key, address, zone } = this.options;
        const backoff = Backoff.create({ random, firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS });
        while (!signal.aborted) {
            const current = await store.read(key, "status");
            if (current.kind === "found" && this.read(current.object)?.address === address) {
                return;
            }
            if (current.kind !== "unavailable") {
                const expected = current.kind === "found" ? current.object.revision : 0;
                const outcome = await store.write(key, { address, zone }, expected, "status");
                if (outcome.kind === "committed") {
                    return;
                }
            }
            await clock.sleep(backoff.nextMs(), signal);
        }
    }
}
