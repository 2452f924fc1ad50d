import { type MaintenanceIntent, maintenanceIntentSchema } from "@fescuehaven/resources";
import type { CommandContext } from "../CommandContext.js";
import type { CommandOutcome } from "../CommandOutcome.js";
import { removeObject } from "../util/removeObject.js";
import { worstOutcome } from "../util/worstOutcome.js";

/** Arguments of `fescue undrain`. */
interface UndrainRequest {
    target: MaintenanceIntent["target"];
    /** Remove the intents of other operators, too. */
    all: boolean;
}

interface ActiveIntent {
    name: string;
    revision: number;
    intent: MaintenanceIntent;
}

/** Removes the operator's own maintenance intents for a target, and lists the remaining ones of other operators. */
export async function undrainTarget(context: CommandContext, request: UndrainRequest): Promise<CommandOutcome> {
    const outcome = await context.store.list(["maintenance-intent"], "intent");
    if (outcome.kind === "unavailable") {
        context.output.error(
            `The platform is unavailable; nothing was changed. Try again in ${outcome.retryAfterMs} ms.`,
        );
        return "unavailable";
    }
    const active: ActiveIntent[] = outcome.objects.flatMap(object => {
        const parsed = maintenanceIntentSchema.safeParse(object.value);
        return parsed.success ? [{ name: object.name, revision: object.revision, intent: parsed.data }] : [];
    }).filter(({ intent }) => intent.target.kind === request.target.kind && intent.target.name === request.target.name);
    const selected = active.filter(({ intent }) => request.all || intent.requestedBy === context.user);
    if (selected.length === 0) {
        context.output.error(
            `${request.target.kind} ${request.target.name}: no maintenance intent of ${context.user} exists`,
        );
    }
    const results: CommandOutcome[] = selected.length === 0 ? ["not-found"] : [];
    for (const item of selected) {
        results.push(await removeObject(context, { kind: "maintenance-intent", name: item.name }, item.revision));
    }
    for (const other of active.filter(item => !selected.includes(item))) {
        context.output.line(
            `Still out of service because of intent ${other.name} of ${other.intent.requestedBy}: ${other.intent.reason}`,
        );
    }
    return worstOutcome(results);
}
