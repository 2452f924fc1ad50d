import { configurationKinds, resourceSchemas } from "@fescuehaven/resources";
import { describeFaults, type SchemaFault } from "@fescuehaven/runtime";
import { readdir, readFile, stat } from "node:fs/promises";
import path from "node:path";
import { type Manifest, manifestSchema } from "./Manifest.js";
import { isConfigurationKind } from "./util/isConfigurationKind.js";

/** A fault and the file that holds it. */
interface ManifestFault extends SchemaFault {
    file: string;
}

/** Result of reading manifests: all of them are good, or every fault is listed. */
type ManifestsOutcome =
    | { kind: "read"; manifests: Manifest[]; }
    | { kind: "invalid"; faults: ManifestFault[]; };

/** Reads objects from JSON files and folders. A file holds one object or an array of them. */
export async function readManifests(paths: readonly string[]): Promise<ManifestsOutcome> {
    const manifests: Manifest[] = [];
    const faults: ManifestFault[] = [];
    for (const file of await expand(paths)) {
        const parsed = await readFileObjects(file);
        manifests.push(...parsed.manifests);
        faults.push(...parsed.faults.map(fault => ({ ...fault, file })));
    }
    return faults.length > 0 ? { kind: "invalid", faults } : { kind: "read", manifests };
}

async function expand(paths: readonly string[]): Promise<string[]> {
    const files: string[] = [];
    for (const entry of paths) {
        const found = await stat(entry).catch(() => undefined);
        if (!found?.isDirectory()) {
            files.push(entry);
            continue;
        }
        const names = (await readdir(entry)).filter(name => name.endsWith(".json")).sort();
        files.push(...names.map(name => path.join(entry, name)));
    }
    return files;
}

async function readFileObjects(file: string): Promise<{ manifests: Manifest[]; faults: SchemaFault[]; }> {
    let raw: unknown;
    try {
        raw = JSON.parse(await readFile(file, "utf8"));
    }
    catch (error) {
        const expected = `a readable JSON file: ${(error as Error).message}`;
        return { manifests: [], faults: [{ path: "(root)", expected }] };
    }
    const items: unknown[] = Array.isArray(raw) ? raw : [raw];
    const results = items.map((item, index) => checkManifest(item, Array.isArray(raw) ? `${index}.` : ""));
    return {
        manifests: results.flatMap(result => (result.kind === "good" ? [result.manifest] : [])),
        faults: results.flatMap(result => (result.kind === "bad" ? result.faults : [])),
    };
}

type CheckOutcome = { kind: "good"; manifest: Manifest; } | { kind: "bad"; faults: SchemaFault[]; };

function checkManifest(item: unknown, prefix: string): CheckOutcome {
    const parsed = manifestSchema.safeParse(item);
    if (!parsed.success) {
        return { kind: "bad", faults: withPrefix(describeFaults(parsed.error), prefix) };
    }
    const manifest = parsed.data;
    if (!isConfigurationKind(manifest.kind)) {
        const expected = `one of ${configurationKinds.join(", ")}`;
        return { kind: "bad", faults: [{ path: `${prefix}kind`, expected }] };
    }
    const spec = resourceSchemas[manifest.kind].safeParse(manifest.spec);
    if (!spec.success) {
        return { kind: "bad", faults: withPrefix(describeFaults(spec.error), `${prefix}spec.`) };
    }
    return { kind: "good", manifest: { ...manifest, spec: spec.data } };
}

function withPrefix(faults: SchemaFault[], prefix: string): SchemaFault[] {
    return faults.map(fault => ({ ...fault, path: prefix + fault.path }));
}
