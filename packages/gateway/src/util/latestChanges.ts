import type { ObjectChange } from "@fescuehaven/platform";

/** Returns the last change of each object, in their order: earlier ones are already replaced. */
export function latestChanges(changes: readonly ObjectChange[]): ObjectChange[] {
    const latest = new Map(changes.map(change => [change.object.name, change]));
    return changes.filter(change => latest.get(change.object.name) === change);
}
