import type { ObjectChange } from "@fescuehaven/platform";
import { resourceSchemas } from "@fescuehaven/resources";
import type { CommandContext } from "../CommandContext.js";
import type { CommandOutcome } from "../CommandOutcome.js";
import { summarizeObject } from "../util/summarizeObject.js";

const WATCH_WAIT_MS = 20_000;

/** Prints changes of objects of the given kinds until `signal` aborts. */
export async function watchObjects(
    context: CommandContext,
    kinds: readonly string[],
    signal: AbortSignal,
): Promise<CommandOutcome> {
    const unknown = kinds.filter(kind => !(kind in resourceSchemas));
    if (unknown.length > 0) {
        context.output.error(`kind: expected one of ${Object.keys(resourceSchemas).join(", ")}`);
        return "invalid";
    }
    let after = await currentRevision(context, kinds, signal);
    while (!signal.aborted) {
        const outcome = await context.store.watch(kinds, after, WATCH_WAIT_MS, signal);
        if (outcome.kind === "changed") {
            outcome.changes.forEach(change => context.output.line(lineOf(context, change)));
            after = outcome.revision;
            continue;
        }
        if (outcome.kind === "compacted") {
            context.output.error("Some changes were missed: the platform no longer retains them.");
            after = await currentRevision(context, kinds, signal);
            continue;
        }
        await context.clock.sleep(outcome.retryAfterMs, signal);
    }
    return "done";
}

async function currentRevision(
    context: CommandContext,
    kinds: readonly string[],
    signal: AbortSignal,
): Promise<number> {
    while (!signal.aborted) {
        const listed = await context.store.list(kinds, "read");
        if (listed.kind === "listed") {
            return listed.revision;
        }
        await context.clock.sleep(listed.retryAfterMs, signal);
    }
    return 0;
}

function lineOf(context: CommandContext, change: ObjectChange): string {
    if (context.format === "json") {
        return JSON.stringify(change);
    }
    const id = `${change.object.kind}/${change.object.name} ${change.object.revision}`;
    return change.kind === "removed" ? `${id} removed` : `${id} ${summarizeObject(change.object)}`;
}
