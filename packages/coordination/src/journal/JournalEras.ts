import type { Era, ObjectStore } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Logger } from "@fescuehaven/telemetry";
import { z } from "zod";

interface JournalErasOptions {
    store: ObjectStore;
    clock: Clock;
    random: Random;
    logger: Logger;
}

const ERA_KEY = { kind: "journal-era", name: "current" } as const;
/** Mean time between reads of the era: calls issued before a router has learned of it count as possibly lost. */
const POLL_INTERVAL_MS = 2000;
/** Number of attempts to read or write the object before its state counts as unavailable. */
const MAX_ATTEMPTS = 3;

const journalEraSchema = z.object({ era: z.number(), sinceMs: z.number() });

/**
 * Determines since when the records in the store are complete: whatever was recorded before the store came back from an
 * older copy may be lost. The first router that learns of an era records the time for all.
 */
export class JournalEras {
    private known: z.infer<typeof journalEraSchema> = { era: 0, sinceMs: -Infinity };

    private constructor(private readonly options: JournalErasOptions) {}

    /** Creates an instance that has read nothing yet. */
    static create(options: JournalErasOptions): JournalEras {
        return new JournalEras(options);
    }

    /** Returns the time since which records are complete in an era, in Unix milliseconds; undefined if unavailable. */
    async completeSinceMs(era: Era): Promise<number | undefined> {
        for (let attempt = 0; attempt < MAX_ATTEMPTS && this.known.era < era; attempt++) {
            await this.readOrWrite(era);
        }
        return this.known.era === era ? this.known.sinceMs : undefined;
    }

    /** Learns of new eras until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { store, clock, random } = this.options;
        while (!signal.aborted) {
            await clock.sleep(POLL_INTERVAL_MS * (0.5 + random.next()), signal);
            const found = signal.aborted ? undefined : await store.read(ERA_KEY, "journal");
            if (found && found.kind !== "unavailable") {
                await this.completeSinceMs(found.era ?? 0);
            }
        }
    }

    private async readOrWrite(era: Era): Promise<void> {
        const { store, clock, logger } = this.options;
        const found = await store.read(ERA_KEY, "journal");
        if (found.kind === "unavailable" || (found.era ?? 0) !== era) {
            return;
        }
        const parsed = journalEraSchema.safeParse(found.kind === "found" ? found.object.value : undefined);
        if (parsed.success && parsed.data.era === era) {
            this.known = parsed.data;
            return;
        }
        const next = { era, sinceMs: clock.now().getTime() };
        const revision = found.kind === "found" ? found.object.revision : 0;
        const outcome = await store.write(ERA_KEY, next, revision, "journal", era);
        if (outcome.kind === "committed" && (outcome.era ?? 0) === era) {
            logger.warn(`The store is in era ${era}: records of calls issued before now may be lost.`);
            this.known = next;
        }
    }
}
