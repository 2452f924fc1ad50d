import { z } from "zod";
import type { CallClass } from "../CallClass.js";
import type { CallLimiter } from "../CallLimiter.js";
import type { Era } from "../Era.js";
import type { ListOutcome } from "../ListOutcome.js";
import type { ObjectKey } from "../ObjectKey.js";
import type { ObjectStore } from "../ports/ObjectStore.js";
import type { ReadOutcome } from "../ReadOutcome.js";
import type { Revision } from "../Revision.js";
import type { UpdateOutcome } from "../UpdateOutcome.js";
import type { WatchOutcome } from "../WatchOutcome.js";
import type { PlatformHttp } from "./PlatformHttp.js";

interface HttpObjectStoreOptions {
    http: PlatformHttp;
    limiter: CallLimiter;
}

/** A watch times out this long after its own wait is over. */
const WATCH_GRACE_MS = 2000;
const DEFAULT_RETRY_AFTER_MS = 500;
/** Response header with the era of the store. */
const ERA_HEADER = "store-era";
const ERA_PATTERN = /^\d{1,15}$/;

const objectSchema = z.object({ kind: z.string(), name: z.string(), revision: z.number(), value: z.unknown() });
const listSchema = z.object({ objects: z.array(objectSchema), revision: z.number() });
const changeSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("written"), object: objectSchema }),
    z.object({ kind: z.literal("removed"), object: objectSchema.omit({ value: true }) }),
]);
const watchSchema = z.object({ changes: z.array(changeSchema), revision: z.number() });
const committedSchema = z.object({ revision: z.number() });
const conflictSchema = z.object({ current: z.number() });
const reasonSchema = z.object({ reason: z.string() });
const retrySchema = z.object({ retryAfterMs: z.number() });

const UNAVAILABLE = { kind: "unavailable", retryAfterMs: DEFAULT_RETRY_AFTER_MS } as const;

/** Outcome of an update by HTTP status. With any other status, the update may have taken effect. */
const updateOutcomeByStatus: Record<number, (body: unknown, era: { era?: Era; }) => UpdateOutcome> = {
    200: (body, era) => {
        const parsed = committedSchema.safeParse(body);
        return parsed.success ? { kind: "committed", revision: parsed.data.revision, ...era } : { kind: "unknown" };
    },
    409: (body, era) => {
        const parsed = conflictSchema.safeParse(body);
        return parsed.success ? { kind: "conflict", current: parsed.data.current, ...era } : { kind: "unknown" };
    },
    413: body => ({ kind: "invalid", reason: reasonOf(body) }),
    422: body => ({ kind: "invalid", reason: reasonOf(body) }),
    429: body => ({ kind: "unavailable", retryAfterMs: retryAfterOf(body) }),
    503: body => ({ kind: "unavailable", retryAfterMs: retryAfterOf(body) }),
};

/** Client for the platform's object API over HTTP. */
export class HttpObjectStore implements ObjectStore {
    /** Highest era of any response. */
    private era: Era = 0;

    private constructor(private readonly options: HttpObjectStoreOptions) {}

    /** Creates the client; it sends nothing yet. */
    static create(options: HttpObjectStoreOptions): HttpObjectStore {
        return new HttpObjectStore(options);
    }

    /** Reads one object. */
    async read(key: ObjectKey, callClass: CallClass): Promise<ReadOutcome> {
        const permit = await this.options.limiter.acquire(callClass);
        if (permit.kind === "refused") {
            return { kind: "unavailable", retryAfterMs: permit.retryAfterMs };
        }
        const response = await this.options.http.call({ method: "GET", path: pathOf(key) });
        const era = this.observeEra(response);
        if (response.kind === "answered" && response.status === 404) {
            return { kind: "absent", ...era };
        }
        const parsed = response.kind === "answered" && response.status === 200
            ? objectSchema.safeParse(response.body)
            : undefined;
        return parsed?.success ? { kind: "found", object: parsed.data, ...era } : UNAVAILABLE;
    }

    /** Reads all objects of the kinds. */
    async list(kinds: readonly string[], callClass: CallClass): Promise<ListOutcome> {
        const permit = await this.options.limiter.acquire(callClass);
        if (permit.kind === "refused") {
            return { kind: "unavailable", retryAfterMs: permit.retryAfterMs };
        }
        const path = `/v1/objects?kinds=${encodeURIComponent(kinds.join(","))}`;
        const response = await this.options.http.call({ method: "GET", path });
        const era = this.observeEra(response);
        const parsed = response.kind === "answered" && response.status === 200
            ? listSchema.safeParse(response.body)
            : undefined;
        return parsed?.success ? { kind: "listed", ...parsed.data, ...era } : UNAVAILABLE;
    }

    /** Writes `value` if the object's revision is `expected`. */
    async write(
        key: ObjectKey,
        value: unknown,
        expected: Revision,
        callClass: CallClass,
        era?: Era,
    ): Promise<UpdateOutcome> {
        return this.update("PUT", key, expected, callClass, era, { value });
    }

    /** Removes the object if its revision is `expected`. */
    async remove(key: ObjectKey, expected: Revision, callClass: CallClass, era?: Era): Promise<UpdateOutcome> {
        return this.update("DELETE", key, expected, callClass, era);
    }

    /** Waits up to `waitMs` for changes to objects of the kinds after revision `after`. */
    async watch(
        kinds: readonly string[],
        after: Revision,
        waitMs: number,
        signal: AbortSignal,
        cursorEra?: Era,
    ): Promise<WatchOutcome> {
        const permit = await this.options.limiter.acquire("read", signal);
        if (permit.kind === "refused") {
            return { kind: "unavailable", retryAfterMs: permit.retryAfterMs };
        }
        if (this.hasEnded(cursorEra)) {
            return { kind: "compacted", era: this.era };
        }
        const query = new URLSearchParams({ kinds: kinds.join(","), after: String(after), waitMs: String(waitMs) });
        const response = await this.options.http.call({
            method: "GET",
            path: `/v1/watch?${query.toString()}`,
            timeoutMs: waitMs + WATCH_GRACE_MS,
            signal,
        });
        const era = this.observeEra(response);
        if (response.kind === "answered" && (response.status === 410 || this.hasEnded(cursorEra))) {
            return { kind: "compacted", ...era };
        }
        const parsed = response.kind === "answered" && response.status === 200
            ? watchSchema.safeParse(response.body)
            : undefined;
        return parsed?.success ? { kind: "changed", ...parsed.data, ...era } : UNAVAILABLE;
    }

    /** Returns the era of a response as a part of an outcome; the last known one if the response states none. */
    private observeEra(response: Awaited<ReturnType<PlatformHttp["call"]>>): { era?: Era; } {
        const stated = response.kind === "answered" ? response.headers[ERA_HEADER] : undefined;
        const era = typeof stated === "string" && ERA_PATTERN.test(stated) ? Number(stated) : this.era;
        this.era = Math.max(this.era, era);
        return era === 0 ? {} : { era };
    }

    private hasEnded(era: Era | undefined): boolean {
        return era !== undefined && era < this.era;
    }

    private async update(
        method: "PUT" | "DELETE",
        key: ObjectKey,
        expected: Revision,
        callClass: CallClass,
        expectedEra: Era | undefined,
        body?: unknown,
    ): Promise<UpdateOutcome> {
        const permit = await this.options.limiter.acquire(callClass);
        if (permit.kind === "refused") {
            return { kind: "unavailable", retryAfterMs: permit.retryAfterMs };
        }
        if (this.hasEnded(expectedEra)) {
            return { kind: "unavailable", retryAfterMs: 0 };
        }
        const headers = { "if-match": String(expected) };
        const response = await this.options.http.call({ method, path: pathOf(key), headers, body });
        if (response.kind === "not-sent") {
            return UNAVAILABLE;
        }
        if (response.kind === "lost") {
            return { kind: "unknown" };
        }
        const era = this.observeEra(response);
        const interpret = updateOutcomeByStatus[response.status];
        return interpret ? interpret(response.body, era) : { kind: "unknown" };
    }
}

function pathOf(key: ObjectKey): string {
    return `/v1/objects/${encodeURIComponent(key.kind)}/${encodeURIComponent(key.name)}`;
}

function reasonOf(body: unknown): string {
    const parsed = reasonSchema.safeParse(body);
    return parsed.success ? parsed.data.reason : "the platform refused the value";
}

function retryAfterOf(body: unknown): number {
    const parsed = retrySchema.safeParse(body);
    return parsed.success ? parsed.data.retryAfterMs : DEFAULT_RETRY_AFTER_MS;
}
