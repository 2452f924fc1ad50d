import type { ObjectKey, Revision } from "@fescuehaven/platform";
import type { CommandContext } from "../CommandContext.js";
import type { CommandOutcome } from "../CommandOutcome.js";
import { reportUpdate } from "./reportUpdate.js";

/**
 * Removes an object by conditional update and prints the outcome. If the platform's response is lost, reads the object
 * again to find out whether it was removed.
 */
export async function removeObject(
    context: CommandContext,
    key: ObjectKey,
    revision: Revision | undefined,
): Promise<CommandOutcome> {
    const read = await context.store.read(key, "intent");
    if (read.kind === "unavailable") {
        return reportUpdate(read, key, "", context.output);
    }
    if (read.kind === "absent") {
        context.output.error(`${key.kind}/${key.name}: not found`);
        return "not-found";
    }
    const removed = await context.store.remove(key, revision ?? read.object.revision, "intent");
    if (removed.kind === "unknown") {
        const after = await context.store.read(key, "intent");
        if (after.kind === "absent") {
            context.output.line(`${key.kind}/${key.name} removed`);
            return "done";
        }
    }
    return reportUpdate(removed, key, "removed", context.output);
}
