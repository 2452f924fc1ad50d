import { type MaintenanceIntent, maintenanceIntentSchema } from "@fescuehaven/resources";
import type { CommandContext } from "../CommandContext.js";
import type { CommandOutcome } from "../CommandOutcome.js";
import { removeObject } from "../util/removeObject.js";
import { worstOutcome } from "../util/worstOutcome.js";

/** What `fescue undrain` is asked to do. */
interface UndrainRequest {
    target: MaintenanceIntent["target"];
    /** End the intents of other operators, too. */
    all: boolean;
}

interface StandingIntent {
    name: string;
    revision: number;
    intent: MaintenanceIntent;
}

/** Ends the operator's own intents on a target and names the others that still stand. */
export async function undrainTarget(context: CommandContext, request: UndrainRequest): Promise<CommandOutcome> {
    const outcome = await context.store.list(["maintenance-intent"], "intent");
    if (outcome.kind === "unavailable") {
        context.output.error(
            `The platform is unavailable; nothing was changed. Try again in ${outcome.retryAfterMs} ms.`,
        );
        return "unavailable";
    }
    const standing: StandingIntent[] = outcome.objects.flatMap(object => {
        const parsed = maintenanceIntentSchema.safeParse(object.value);
        return parsed.success ? [{ name: object.name, revision: object.revision, intent: parsed.data }] : [];
    }).filter(({ intent }) => intent.target.kind === request.target.kind && intent.target.name === request.target.name);
    const mine = standing.filter(({ intent }) => request.all || intent.requestedBy === context.user);
    if (mine.length === 0) {
        context.output.error(`${request.target.kind} ${request.target.name}: no intent of ${context.user} stands`);
    }
    const results: CommandOutcome[] = mine.length === 0 ? ["not-found"] : [];
    for (const item of mine) {
        results.push(await removeObject(context, { kind: "maintenance-intent", name: item.name }, item.revision));
    }
    for (const other of standing.filter(item => !mine.includes(item))) {
        context.output.line(
            `Still out of service by ${other.name} of ${other.intent.requestedBy}: ${other.intent.reason}`,
        );
    }
    return worstOutcome(results);
}
