/** Returns the share of a model's requests that are refused or late, 0 to 1. */
export function unservedShare({ offered, refused, late }: { offered: number; refused: number; late: number; }): number {
    return offered > 0 ? Math.min(1, (refused + late) / offered) : 0;
}
