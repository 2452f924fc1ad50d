import type { MaintenanceIntent } from "@fescuehaven/resources";
import type { CommandContext } from "../CommandContext.js";
import type { CommandOutcome } from "../CommandOutcome.js";
import { reportUpdate } from "../util/reportUpdate.js";
import { resolveLostUpdate } from "../util/resolveLostUpdate.js";

/** Arguments of `fescue drain`. */
interface DrainRequest {
    target: MaintenanceIntent["target"];
    reason: string;
    /** Name of the maintenance intent; defaults to a generated name that is unique. */
    name?: string;
}

/** Takes a VM, fabric domain or availability zone out of service by creating a maintenance intent. */
export async function drainTarget(context: CommandContext, request: DrainRequest): Promise<CommandOutcome> {
    const suffix = context.random.uniqueId().slice(0, 8).toLowerCase();
    const name = request.name ?? `drain-${request.target.name}-${suffix}`;
    const key = { kind: "maintenance-intent", name };
    const intent: MaintenanceIntent = { target: request.target, reason: request.reason, requestedBy: context.user };
    const written = await context.store.write(key, intent, 0, "intent");
    const resolved = await resolveLostUpdate(context.store, key, intent, written);
    return reportUpdate(resolved, key, "created", context.output);
}
