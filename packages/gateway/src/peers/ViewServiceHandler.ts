import type { ConnectRouter, HandlerContext } from "@connectrpc/connect";
import type { ObjectChange, StoredObject } from "@fescuehaven/platform";
import { ViewService } from "@fescuehaven/protocol";
import type { WatchCache } from "../WatchCache.js";

/** Serves this gateway's view of the store to other gateways, so that few gateways read the store itself. */
export class ViewServiceHandler {
    private constructor(private readonly caches: ReadonlyMap<string, WatchCache>) {}

    /** Creates the handler with one cache for each kind of object. */
    static create(caches: ReadonlyMap<string, WatchCache>): ViewServiceHandler {
        return new ViewServiceHandler(caches);
    }

    /** Adds the handler to a server. */
    registerOn(router: ConnectRouter): void {
        router.service(ViewService, {
            listObjects: ({ kind }) => {
                const view = this.caches.get(kind)?.list();
                return {
                    isAvailable: view?.isCurrent ?? false,
                    objects: view?.objects.map(toMessage),
                    revision: view?.revision,
                };
            },
            watchObjects: async ({ kind, after, waitMs }, context: HandlerContext) => {
                const outcome = await this.caches.get(kind)?.watch(after, waitMs, context.signal);
                if (outcome?.kind !== "changed") {
                    return { isAvailable: outcome?.kind === "compacted", isCompacted: true };
                }
                return { isAvailable: true, changes: outcome.changes.map(toChange), revision: outcome.revision };
            },
        });
    }
}

function toMessage({ name, revision, value }: StoredObject) {
    return { name, revision, valueJson: JSON.stringify(value) ?? "" };
}

function toChange(change: ObjectChange) {
    return change.kind === "written"
        ? { isRemoved: false, object: toMessage(change.object) }
        : { isRemoved: true, object: { name: change.object.name, revision: change.object.revision, valueJson: "" } };
}
