import type { ObjectKey, ObjectStore, UpdateOutcome } from "@fescuehaven/platform";
import { isDeepStrictEqual } from "node:util";

/**
 * Resolves an update whose response was lost: reads the object back and returns `committed` if it has the wanted value.
 * Returns any other outcome unchanged.
 */
export async function resolveLostUpdate(
    store: ObjectStore,
    key: ObjectKey,
    wanted: unknown,
    outcome: UpdateOutcome,
): Promise<UpdateOutcome> {
    if (outcome.kind !== "unknown") {
        return outcome;
    }
    const read = await store.read(key, "intent");
    if (read.kind === "found" && isDeepStrictEqual(read.object.value, wanted)) {
        return { kind: "committed", revision: read.object.revision };
    }
    return outcome;
}
