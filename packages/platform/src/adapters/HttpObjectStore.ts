import { z } from "zod";
import type { CallClass } from "../CallClass.js";
import type { CallLimiter } from "../CallLimiter.js";
import type { ListOutcome } from "../ListOutcome.js";
import type { ObjectKey } from "../ObjectKey.js";
import type { ObjectStore } from "../ports/ObjectStore.js";
import type { ReadOutcome } from "../ReadOutcome.js";
import type { Revision } from "../Revision.js";
import type { UpdateOutcome } from "../UpdateOutcome.js";
import type { WatchOutcome } from "../WatchOutcome.js";
import type { PlatformHttp } from "./PlatformHttp.js";

/** What an `HttpObjectStore` is made of. */
interface HttpObjectStoreOptions {
    http: PlatformHttp;
    limiter: CallLimiter;
}

/** Time beyond a watch's own wait after which it counts as silent, ms. */
const WATCH_GRACE_MS = 2000;
const DEFAULT_RETRY_AFTER_MS = 500;

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

/** What each answer to an update means, by HTTP status. Any other: it may have taken effect. */
const updateAnswers: Record<number, (body: unknown) => UpdateOutcome> = {
    200: body => {
        const parsed = committedSchema.safeParse(body);
        return parsed.success ? { kind: "committed", revision: parsed.data.revision } : { kind: "unknown" };
    },
    409: body => {
        const parsed = conflictSchema.safeParse(body);
        return parsed.success ? { kind: "conflict", current: parsed.data.current } : { kind: "unknown" };
    },
    413: body => ({ kind: "invalid", reason: reasonOf(body) }),
    422: body => ({ kind: "invalid", reason: reasonOf(body) }),
    429: body => ({ kind: "unavailable", retryAfterMs: retryAfterOf(body) }),
    503: body => ({ kind: "unavailable", retryAfterMs: retryAfterOf(body) }),
};

/** The platform's object API over HTTP. */
export class HttpObjectStore implements ObjectStore {
    private constructor(private readonly options: HttpObjectStoreOptions) {}

    /** Creates the adapter. */
    static create(options: HttpObjectStoreOptions): HttpObjectStore {
        return new HttpObjectStore(options);
    }

    /** Reads one object. */
    async read(key: ObjectKey, callClass: CallClass): Promise<ReadOutcome> {
        const turn = await this.options.limiter.turn(callClass);
        if (turn.kind === "refused") {
            return { kind: "unavailable", retryAfterMs: turn.retryAfterMs };
        }
        const answer = await this.options.http.call({ method: "GET", path: pathOf(key) });
        if (answer.kind === "answered" && answer.status === 404) {
            return { kind: "absent" };
        }
        const parsed = answer.kind === "answered" && answer.status === 200
            ? objectSchema.safeParse(answer.body)
            : undefined;
        return parsed?.success ? { kind: "found", object: parsed.data } : UNAVAILABLE;
    }

    /** Reads all objects of the kinds. */
    async list(kinds: readonly string[], callClass: CallClass): Promise<ListOutcome> {
        const turn = await this.options.limiter.turn(callClass);
        if (turn.kind === "refused") {
            return { kind: "unavailable", retryAfterMs: turn.retryAfterMs };
        }
        const path = `/v1/objects?kinds=${encodeURIComponent(kinds.join(","))}`;
        const answer = await this.options.http.call({ method: "GET", path });
        const parsed = answer.kind === "answered" && answer.status === 200
            ? listSchema.safeParse(answer.body)
            : undefined;
        return parsed?.success ? { kind: "listed", ...parsed.data } : UNAVAILABLE;
    }

    /** Writes `value` if the object's revision is `expected`. */
    async write(key: ObjectKey, value: unknown, expected: Revision, callClass: CallClass): Promise<UpdateOutcome> {
        return this.update("PUT", key, expected, callClass, { value });
    }

    /** Removes the object if its revision is `expected`. */
    async remove(key: ObjectKey, expected: Revision, callClass: CallClass): Promise<UpdateOutcome> {
        return this.update("DELETE", key, expected, callClass);
    }

    /** Waits up to `waitMs` for changes of the kinds after `after`. */
    async watch(
        kinds: readonly string[],
        after: Revision,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<WatchOutcome> {
        const turn = await this.options.limiter.turn("read", signal);
        if (turn.kind === "refused") {
            return { kind: "unavailable", retryAfterMs: turn.retryAfterMs };
        }
        const query = new URLSearchParams({ kinds: kinds.join(","), after: String(after), waitMs: String(waitMs) });
        const answer = await this.options.http.call({
            method: "GET",
            path: `/v1/watch?${query.toString()}`,
            timeoutMs: waitMs + WATCH_GRACE_MS,
            signal,
        });
        if (answer.kind === "answered" && answer.status === 410) {
            return { kind: "compacted" };
        }
        const parsed = answer.kind === "answered" && answer.status === 200
            ? watchSchema.safeParse(answer.body)
            : undefined;
        return parsed?.success ? { kind: "changed", ...parsed.data } : UNAVAILABLE;
    }

    private async update(
        method: "PUT" | "DELETE",
        key: ObjectKey,
        expected: Revision,
        callClass: CallClass,
        body?: unknown,
    ): Promise<UpdateOutcome> {
        const turn = await this.options.limiter.turn(callClass);
        if (turn.kind === "refused") {
            return { kind: "unavailable", retryAfterMs: turn.retryAfterMs };
        }
        const headers = { "if-match": String(expected) };
        const answer = await this.options.http.call({ method, path: pathOf(key), headers, body });
        if (answer.kind === "not-sent") {
            return UNAVAILABLE;
        }
        if (answer.kind === "lost") {
            return { kind: "unknown" };
        }
        const interpret = updateAnswers[answer.status];
        return interpret ? interpret(answer.body) : { kind: "unknown" };
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
