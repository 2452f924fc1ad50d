import type { Revision } from "@fescuehaven/platform";
import { isDeepStrictEqual } from "node:util";
import type { CommandContext } from "../CommandContext.js";
import type { CommandOutcome } from "../CommandOutcome.js";
import type { Manifest } from "../Manifest.js";
import { readManifests } from "../readManifests.js";
import { diffLines } from "../util/diffLines.js";
import { reportUpdate } from "../util/reportUpdate.js";
import { resolveLostUpdate } from "../util/resolveLostUpdate.js";
import { worstOutcome } from "../util/worstOutcome.js";

/** Arguments of `fescue apply`. */
interface ApplyRequest {
    files: readonly string[];
    /** Report what would change without changing it. */
    dryRun: boolean;
    /** Show the changed lines. */
    diff: boolean;
}

/** Writes objects by conditional update. Writes nothing unless every object is valid. */
export async function applyManifests(context: CommandContext, request: ApplyRequest): Promise<CommandOutcome> {
    const outcome = await readManifests(request.files);
    if (outcome.kind === "invalid") {
        outcome.errors.forEach(error => context.output.error(`${error.file}: ${error.path}: ${error.expected}`));
        return "invalid";
    }
    const results: CommandOutcome[] = [];
    for (const manifest of outcome.manifests) {
        results.push(await applyOne(context, request, manifest));
    }
    return worstOutcome(results);
}

async function applyOne(context: CommandContext, request: ApplyRequest, manifest: Manifest): Promise<CommandOutcome> {
    const key = { kind: manifest.kind, name: manifest.name };
    const id = `${key.kind}/${key.name}`;
    const read = await context.store.read(key, "intent");
    if (read.kind === "unavailable") {
        return reportUpdate(read, key, "", context.output);
    }
    const current = read.kind === "found" ? read.object : undefined;
    if (current && isDeepStrictEqual(current.value, manifest.spec)) {
        context.output.line(`${id} unchanged at revision ${current.revision}`);
        return "done";
    }
    if (request.diff) {
        diffLines(current?.value, manifest.spec).forEach(line => context.output.line(`${id} ${line}`));
    }
    const expected: Revision = manifest.revision ?? current?.revision ?? 0;
    if (request.dryRun) {
        const conflicts = expected !== (current?.revision ?? 0);
        context.output.line(
            `${id} would be ${conflicts ? "refused: its revision differs" : current ? "changed" : "created"}`,
        );
        return conflicts ? "conflict" : "done";
    }
    const written = await context.store.write(key, manifest.spec, expected, "intent");
    const resolved = await resolveLostUpdate(context.store, key, manifest.spec, written);
    return reportUpdate(resolved, key, current ? "changed" : "created", context.output);
}
