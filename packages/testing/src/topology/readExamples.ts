import { resourceNameSchema, resourceSchemas } from "@fescuehaven/resources";
import { readdir, readFile } from "node:fs/promises";
import path from "node:path";
import { z } from "zod";
import type { NamedObject } from "./NamedObject.js";

const manifestSchema = z.strictObject({
    kind: z.enum(Object.keys(resourceSchemas) as Array<keyof typeof resourceSchemas>),
    name: resourceNameSchema,
    spec: z.record(z.string(), z.unknown()),
});

const fileSchema = z.union([manifestSchema.transform(one => [one]), z.array(manifestSchema)]);

/** Reads the objects from all manifests in a folder, in the order of the file names. Throws if one is invalid. */
export async function readExamples(folder: string): Promise<NamedObject[]> {
    const files = (await readdir(folder)).filter(file => file.endsWith(".json")).sort();
    const manifests = await Promise.all(files.map(async file => {
        const text = await readFile(path.join(folder, file), "utf8");
        return fileSchema.parse(JSON.parse(text));
    }));
    return manifests.flat().map(({ kind, name, spec }) => ({
        kind,
        name,
        value: resourceSchemas[kind].parse(spec),
    }));
}
