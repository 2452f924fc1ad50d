/** The subset of JSON Schema that the settings use. */
interface FieldSchema {
    type?: string;
    description?: string;
    default?: unknown;
    enum?: unknown[];
    anyOf?: FieldSchema[];
    format?: string;
    minimum?: number;
    maximum?: number;
    properties?: Record<string, FieldSchema>;
    required?: string[];
    items?: FieldSchema;
}

/** Returns the rows of a reference table with the columns path, value, default and meaning. */
export function settingsRows(schema: FieldSchema, prefix = ""): string[][] {
    return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
        const path = prefix + name;
        const isRequired = schema.required?.includes(name) ?? false;
        const row = [path, valueOf(field), defaultOf(field, isRequired), field.description ?? ""];
        const nested = field.items ? settingsRows(field.items, `${path}[].`) : settingsRows(field, `${path}.`);
        return [row, ...nested];
    });
}

function valueOf(field: FieldSchema): string {
    if (field.enum) {
        return field.enum.map(item => JSON.stringify(item)).join(", ");
    }
    if (field.anyOf) {
        return field.anyOf.map(valueOf).join(" or ");
    }
    if (field.type === "array") {
        return "list";
    }
    const bounds = boundsOf(field);
    return [field.format === "uri" ? "URL" : field.format ?? field.type ?? "any", bounds].filter(Boolean).join(" ");
}

function boundsOf(field: FieldSchema): string {
    if (field.type !== "integer" && field.type !== "number") {
        return "";
    }
    const max = field.maximum === undefined || field.maximum >= Number.MAX_SAFE_INTEGER ? "" : String(field.maximum);
    return `${field.minimum ?? ""}..${max}`;
}

function defaultOf(field: FieldSchema, isRequired: boolean): string {
    if (field.default !== undefined) {
        return JSON.stringify(field.default);
    }
    return isRequired ? "required" : "left out";
}
