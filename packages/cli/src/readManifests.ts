import { configurationKinds, resourceSchemas } from "@fescuehaven/resources";
import { describeSchemaErrors, type SchemaError } from "@fescuehaven/runtime";
import { readdir, readFile, stat } from "node:fs/promises";
import path from "node:path";
import { type Manifest, manifestSchema } from "./Manifest.js";
import { isConfigurationKind } from "./util/isConfigurationKind.js";

/** A validation error and the file that contains it. */
interface ManifestError extends SchemaError {
    file: string;
}

/** Either all manifests, if every one is valid, or all validation errors. */
type ManifestsOutcome =
    | { kind: "read"; manifests: Manifest[]; }
    | { kind: "invalid"; errors: ManifestError[]; };

/** Reads objects from JSON files and folders. A file holds one object or an array of them. */
export async function readManifests(paths: readonly string[]): Promise<ManifestsOutcome> {
    const manifests: Manifest[] = [];
    const errors: ManifestError[] = [];
    for (const file of await expandFolders(paths)) {
        const parsed = await readFileObjects(file);
        manifests.push(...parsed.manifests);
        errors.push(...parsed.errors.map(error => ({ ...error, file })));
    }
    return errors.length > 0 ? { kind: "invalid", errors } : { kind: "read", manifests };
}

async function expandFolders(paths: readonly string[]): Promise<string[]> {
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

async function readFileObjects(file: string): Promise<{ manifests: Manifest[]; errors: SchemaError[]; }> {
    let raw: unknown;
    try {
        raw = JSON.parse(await readFile(file, "utf8"));
    }
    catch (error) {
        const expected = `a readable JSON file: ${(error as Error).message}`;
        return { manifests: [], errors: [{ path: "(root)", expected }] };
    }
    const items: unknown[] = Array.isArray(raw) ? raw : [raw];
    const results = items.map((item, index) => checkManifest(item, Array.isArray(raw) ? `${index}.` : ""));
    return {
        manifests: results.flatMap(result => (result.kind === "valid" ? [result.manifest] : [])),
        errors: results.flatMap(result => (result.kind === "invalid" ? result.errors : [])),
    };
}

type CheckOutcome = { kind: "valid"; manifest: Manifest; } | { kind: "invalid"; errors: SchemaError[]; };

function checkManifest(item: unknown, prefix: string): CheckOutcome {
    const parsed = manifestSchema.safeParse(item);
    if (!parsed.success) {
        return { kind: "invalid", errors: withPrefix(describeSchemaErrors(parsed.error), prefix) };
    }
    const manifest = parsed.data;
    if (!isConfigurationKind(manifest.kind)) {
        const expected = `one of ${configurationKinds.join(", ")}`;
        return { kind: "invalid", errors: [{ path: `${prefix}kind`, expected }] };
    }
    const spec = resourceSchemas[manifest.kind].safeParse(manifest.spec);
    if (!spec.success) {
        return { kind: "invalid", errors: withPrefix(describeSchemaErrors(spec.error), `${prefix}spec.`) };
    }
    return { kind: "valid", manifest: { ...manifest, spec: spec.data } };
}

function withPrefix(errors: SchemaError[], prefix: string): SchemaError[] {
    return errors.map(error => ({ ...error, path: prefix + error.path }));
}
