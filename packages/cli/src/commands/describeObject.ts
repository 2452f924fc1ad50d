import { resourceSchemas } from "@fescuehaven/resources";
import type { CommandContext } from "../CommandContext.js";
import type { CommandOutcome } from "../CommandOutcome.js";

/** Prints one complete object as JSON; for a serving group, also its status. */
export async function describeObject(context: CommandContext, kind: string, name: string): Promise<CommandOutcome> {
    if (!(kind in resourceSchemas)) {
        context.output.error(`kind: expected one of ${Object.keys(resourceSchemas).join(", ")}`);
        return "invalid";
    }
    const read = await context.store.read({ kind, name }, "read");
    if (read.kind === "unavailable") {
        context.output.error(`The platform is unavailable. Try again in ${read.retryAfterMs} ms.`);
        return "unavailable";
    }
    if (read.kind === "absent") {
        context.output.error(`${kind}/${name}: not found`);
        return "not-found";
    }
    const status = kind === "serving-group"
        ? await context.store.read({ kind: "group-status", name }, "read")
        : undefined;
    const shown = status?.kind === "found" ? { ...read.object, status: status.object.value } : read.object;
    context.output.line(JSON.stringify(shown, undefined, 2));
    return "done";
}
