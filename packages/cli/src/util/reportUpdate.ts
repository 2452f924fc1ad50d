import type { ObjectKey, UpdateOutcome } from "@fescuehaven/platform";
import type { CommandOutcome } from "../CommandOutcome.js";
import type { Output } from "../ports/Output.js";

type Reporter<K extends UpdateOutcome["kind"]> = (
    outcome: Extract<UpdateOutcome, { kind: K; }>,
    id: string,
    done: string,
    output: Output,
) => CommandOutcome;

const reporters: { [K in UpdateOutcome["kind"]]: Reporter<K>; } = {
    committed: (outcome, id, done, output) => {
        output.line(`${id} ${done} at revision ${outcome.revision}`);
        return "done";
    },
    conflict: (outcome, id, _done, output) => {
        const now = outcome.current === 0 ? "it was removed" : `it now stands at revision ${outcome.current}`;
        output.error(`${id}: another change came first; ${now}. Look at it with \`fescue get\`, then repeat.`);
        return "conflict";
    },
    unavailable: (outcome, id, _done, output) => {
        output.error(
            `${id}: the platform is unavailable; nothing was changed. Try again in ${outcome.retryAfterMs} ms.`,
        );
        return "unavailable";
    },
    invalid: (outcome, id, _done, output) => {
        output.error(`${id}: the platform refused the value: ${outcome.reason}`);
        return "invalid";
    },
    unknown: (_outcome, id, _done, output) => {
        output.error(`${id}: the platform's answer was lost; the change may have been made. Look with \`fescue get\`.`);
        return "outcome-unknown";
    },
};

/** Tells the operator what became of an update. */
export function reportUpdate(outcome: UpdateOutcome, key: ObjectKey, done: string, output: Output): CommandOutcome {
    const report = reporters[outcome.kind] as Reporter<UpdateOutcome["kind"]>;
    return report(outcome, `${key.kind}/${key.name}`, done, output);
}
