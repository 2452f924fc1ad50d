/** Fields that change all the time. */
const ageFields: ReadonlySet<string> = new Set(["ageMs", "requestAgeMs", "configurationAgeMs"]);

/** Replacer for `JSON.stringify` that leaves ages out. */
export function withoutAges(key: string, value: unknown): unknown {
    return ageFields.has(key) ? undefined : value;
}
