/** Name of the version that a system's model rolls out to. */
export function nextVersionOf(modelVersion: string): string {
    return `${modelVersion}-next`;
}
