import type { ConnectRouter, HandlerContext } from "@connectrpc/connect";
import type { Era, ObjectChange, StoredObject } from "@fescuehaven/platform";
import { ViewService } from "@fescuehaven/protocol";
import type { WatchCache } from "../WatchCache.js";

/** Serves this gateway's view of the store to other gateways, so that few gateways read the store itself. */
export class ViewServiceHandler {
    private constructor(
        private readonly caches: ReadonlyMap<string, WatchCache>,
        private readonly newestEra: () => Era,
    ) {}

    /** Creates the handler with one cache for each kind of object, and the newest era of the store that is known. */
    static create(caches: ReadonlyMap<string, WatchCache>, newestEra: () => Era = () => 0): ViewServiceHandler {
        return new ViewServiceHandler(caches, newestEra);
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
                    era: view?.era,
                };
            },
            watchObjects: async (request, context: HandlerContext) => {
                const { kind, after, waitMs } = request;
                const outcome = await this.caches.get(kind)?.watch(after, waitMs, context.signal, request.era);
                if (outcome?.kind !== "changed") {
                    const isAvailable = outcome?.kind === "compacted";
                    const era = isAvailable ? outcome.era : this.newestEra();
                    return { isAvailable, isCompacted: true, era };
                }
                const { changes, revision } = outcome;
                return { isAvailable: true, changes: changes.map(toChange), revision, era: outcome.era };
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
