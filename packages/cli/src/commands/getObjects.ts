import type { StoredObject } from "@fescuehaven/platform";
import { resourceSchemas } from "@fescuehaven/resources";
import type { CommandContext } from "../CommandContext.js";
import type { CommandOutcome } from "../CommandOutcome.js";
import { renderTable } from "../util/renderTable.js";
import { summarizeObject } from "../util/summarizeObject.js";

/** Prints all objects of a kind, or only the object called `name`. */
export async function getObjects(context: CommandContext, kind: string, name?: string): Promise<CommandOutcome> {
    if (!(kind in resourceSchemas)) {
        context.output.error(`kind: expected one of ${Object.keys(resourceSchemas).join(", ")}`);
        return "invalid";
    }
    const outcome = await context.store.list([kind], "read");
    if (outcome.kind === "unavailable") {
        context.output.error(`The platform is unavailable. Try again in ${outcome.retryAfterMs} ms.`);
        return "unavailable";
    }
    const objects = outcome.objects
        .filter(object => name === undefined || object.name === name)
        .sort((left, right) => left.name.localeCompare(right.name));
    if (name !== undefined && objects.length === 0) {
        context.output.error(`${kind}/${name}: not found`);
        return "not-found";
    }
    printers[context.format](context, objects);
    return "done";
}

const printers: Record<CommandContext["format"], (context: CommandContext, objects: StoredObject[]) => void> = {
    json: (context, objects) => context.output.line(JSON.stringify(objects, undefined, 2)),
    table: (context, objects) => {
        const rows = objects.map(object => [object.name, String(object.revision), summarizeObject(object)]);
        renderTable([["NAME", "REVISION", "SUMMARY"], ...rows]).forEach(line => context.output.line(line));
    },
};
