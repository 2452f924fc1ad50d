import { mkdir, writeFile } from "node:fs/promises";
import path from "node:path";
import type { NamedObject } from "../topology/NamedObject.js";
import { readExamples } from "../topology/readExamples.js";
import type { SystemTopology } from "../topology/SystemTopology.js";

/** Writes the example objects to a folder, with the service URLs of `topology`; returns the written objects. */
export async function writeExamples(
    examples: string,
    folder: string,
    topology: SystemTopology,
): Promise<NamedObject[]> {
    const objects = (await readExamples(examples)).map(object => withAddresses(object, topology));
    await mkdir(folder, { recursive: true });
    const manifests = objects.map(({ kind, name, value }) => ({ kind, name, spec: value }));
    await writeFile(path.join(folder, "objects.json"), JSON.stringify(manifests, undefined, 4));
    return objects;
}

function withAddresses(object: NamedObject, topology: SystemTopology): NamedObject {
    if (object.kind !== "service") {
        return object;
    }
    const { endpoints } = object.value as { endpoints: Array<{ zone: string; url: string; }>; };
    const updated = endpoints.map(endpoint => ({ ...endpoint, url: topology.serviceUrl(endpoint.zone) }));
    return { ...object, value: { endpoints: updated } };
}
