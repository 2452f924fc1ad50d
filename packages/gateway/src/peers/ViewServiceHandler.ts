import type { ConnectRouter, HandlerContext } from "@connectrpc/connect";
import type { Era, ObjectChange, StoredObject } from "@fescuehaven/platform";
import { ViewService } from "@fescuehaven/protocol";
import type { DecisionLog } from "../ports/DecisionLog.js";
import { memoizeByObject } from "../util/memoizeByObject.js";
import type { WatchCache } from "../WatchCache.js";

interface ViewServiceOptions {
    log: DecisionLog;
    /** One cache for each kind of object. */
    caches: ReadonlyMap<string, WatchCache>;
    /** Returns the newest era of the store that is known. */
    newestEra: () => Era;
    /** Returns the active configuration in its stored form; undefined if there is none. */
    activeConfiguration: () => unknown;
}

/** Serves this gateway's view of the store to other gateways, so that few gateways read the store itself. */
export class ViewServiceHandler {
    /** Returns an object's value as text, which many followers receive. */
    private readonly textOf = memoizeByObject(({ name, value }: StoredObject) => this.toJson(name, value));

    private constructor(private readonly options: ViewServiceOptions) {}

    /** Creates the handler. */
    static create(options: ViewServiceOptions): ViewServiceHandler {
        return new ViewServiceHandler(options);
    }

    /** Adds the handler to a server. */
    registerOn(router: ConnectRouter): void {
        const { caches, newestEra, activeConfiguration } = this.options;
        router.service(ViewService, {
            listObjects: ({ kind }) => {
                const cache = caches.get(kind);
                const view = cache?.list();
                return {
                    ...ageField(cache),
                    isAvailable: view?.isCurrent ?? false,
                    objects: view?.objects.map(object => this.toMessage(object)),
                    revision: view?.revision,
                    era: view?.era,
                };
            },
            watchObjects: async (request, context: HandlerContext) => {
                const { kind, after, waitMs } = request;
                const cache = caches.get(kind);
                const outcome = await cache?.watch(after, waitMs, context.signal, request.era);
                if (outcome?.kind !== "changed") {
                    const isAvailable = outcome?.kind === "compacted";
                    const era = isAvailable ? outcome.era : newestEra();
                    return { isAvailable, isCompacted: true, era, ...ageField(cache) };
                }
                const { changes, revision } = outcome;
                return {
                    ...ageField(cache),
                    isAvailable: true,
                    changes: changes.map(change => this.toChange(change)),
                    revision,
                    era: outcome.era,
                };
            },
            getActiveConfiguration: () => ({ valueJson: JSON.stringify(activeConfiguration()) ?? "" }),
        });
    }

    private toMessage(object: StoredObject) {
        const { name, revision } = object;
        return { name, revision, valueJson: this.textOf(object) };
    }

    private toChange(change: ObjectChange) {
        return change.kind === "written"
            ? { isRemoved: false, object: this.toMessage(change.object) }
            : {
                isRemoved: true,
                object: { name: change.object.name, revision: change.object.revision, valueJson: "" },
            };
    }

    /** Returns a value as text; none for a value of another writer that is nested too deeply, which is invalid anyway. */
    private toJson(name: string, value: unknown): string {
        try {
            return JSON.stringify(value) ?? "";
        }
        catch (error) {
            this.options.log.warn("object cannot be passed on to peers", {
                object: name,
                reason: error instanceof Error ? error.message : String(error),
            });
            return "";
        }
    }
}

/** Returns the age of a view; nothing before it was first confirmed. */
function ageField(cache: WatchCache | undefined): { ageMs?: number; } {
    return cache && cache.ageMs < Infinity ? { ageMs: Math.round(cache.ageMs) } : {};
}
