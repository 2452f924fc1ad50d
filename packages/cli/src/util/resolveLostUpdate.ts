import type { ObjectKey, ObjectStore, UpdateOutcome } from "@fescuehaven/platform";
import { isDeepStrictEqual } from "node:util";

/** After a lost answer: reads the object back and says whether the wanted value stands. */
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
