import type { ObjectKey, UpdateOutcome } from "@fescuehaven/platform";
import type { CommandOutcome } from "../CommandOutcome.js";
import type { Output } from "../ports/Output.js";

type Reporter<K extends UpdateOutcome["kind"]> = (
    outcome: Extract<UpdateOutcome, { kind: K; }>,
    id: string,
    verb: string,
    output: Output,
) => CommandOutcome;

const reporters: { [K in UpdateOutcome["kind"]]: Reporter<K>; } = {
    committed: (outcome, id, verb, output) => {
        output.line(`${id} ${verb} at revision ${outcome.revision}`);
        return "done";
    },
    conflict: (outcome, id, _verb, output) => {
        const now = outcome.current === 0 ? "it was removed" : `its current revision is ${outcome.current}`;
        output.error(
            `${id}: another change was made first; ${now}. Check it with \`fescue get\`, then repeat the command.`,
        );
        return "conflict";
    },
    unavailable: (outcome, id, _verb, output) => {
        output.error(
            `${id}: the platform is unavailable; nothing was changed. Try again in ${outcome.retryAfterMs} ms.`,
        );
        return "unavailable";
    },
    invalid: (outcome, id, _verb, output) => {
        output.error(`${id}: the platform refused the value: ${outcome.reason}`);
        return "invalid";
    },
    unknown: (_outcome, id, _verb, output) => {
        output.error(
            `${id}: the platform's response was lost; the change may have been made. Check it with \`fescue get\`.`,
        );
        return "outcome-unknown";
    },
};

/** Prints the outcome of an update. `verb` says what was done, such as "created", and is used if it succeeded. */
export function reportUpdate(outcome: UpdateOutcome, key: ObjectKey, verb: string, output: Output): CommandOutcome {
    const report = reporters[outcome.kind] as Reporter<UpdateOutcome["kind"]>;
    return report(outcome, `${key.kind}/${key.name}`, verb, output);
}
