import type { FaultContext } from "./FaultContext.js";
import { nextVersionOf } from "./util/nextVersionOf.js";
import { retryUntilSuccess } from "./util/retryUntilSuccess.js";

/** Pause after each zone of a roll-out. */
const STEP_MS = 2000;

/** Rolls out a new model version zone by zone. The route has both versions meanwhile, and only the new one afterwards. */
export async function rollOut({ system, clock }: FaultContext): Promise<void> {
    const { model, modelVersion, weightsPerMemberGiB } = system.objects.options;
    const next = nextVersionOf(modelVersion);
    const put = async (object: Parameters<typeof system.platform.put>[0]) =>
        retryUntilSuccess(clock, `${object.kind}/${object.name}`, () => system.platform.put(object));
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
