import { configurationKinds } from "@fescuehaven/resources";
import type { CommandContext } from "../CommandContext.js";
import type { CommandOutcome } from "../CommandOutcome.js";
import { isConfigurationKind } from "../util/isConfigurationKind.js";
import { removeObject } from "../util/removeObject.js";

/** Removes an object of a kind that operators write; if `revision` is given, only if it is the current revision. */
export async function deleteObject(
    context: CommandContext,
    kind: string,
    name: string,
    revision: number | undefined,
): Promise<CommandOutcome> {
    if (!isConfigurationKind(kind)) {
        context.output.error(`kind: expected one of ${configurationKinds.join(", ")}`);
        return "invalid";
    }
    return removeObject(context, { kind, name }, revision);
}
