import type { FaultContext } from "./FaultContext.js";
import { nextVersionOf } from "./util/nextVersionOf.js";
import { persistently } from "./util/persistently.js";

/** Time between the steps of a roll-out, ms. */
const STEP_MS = 2000;

/** Rolls a new model version out, zone by zone, while the route takes both; leaves the new one alone in force. */
export async function rollOut({ system, clock }: FaultContext): Promise<void> {
    const { model, modelVersion, weightsPerMemberGiB } = system.objects.options;
    const next = nextVersionOf(modelVersion);
    const put = async (object: Parameters<typeof system.platform.put>[0]) =>
        persistently(clock, `${object.kind}/${object.name}`, () => system.platform.put(object));
    const route = async (versions: string[]) =>
        put({
            kind: "route",
            name: model,
            value: {
                target: {
                    kind: "model",
                    model,
                    versions: versions.map(name => ({ modelVersion: name, weight: 50 })),
                },
                timeoutMs: 60_000,
            },
        });
    await put({ kind: "model-version", name: next, value: { model, version: "2", weightsPerMemberGiB } });
    await route([modelVersion, next]);
    for (const zone of system.topology.options.zones) {
        for (const name of system.objects.groupNamesOf(zone)) {
            const group = system.objects.group(name, zone);
            await put({ ...group, value: { ...group.value, modelVersion: next } });
        }
        await clock.sleep(STEP_MS);
    }
    await route([next]);
}
