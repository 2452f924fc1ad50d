/** Returns the name of the model version that a roll-out introduces. */
export function nextVersionOf(modelVersion: string): string {
    return `${modelVersion}-next`;
}
