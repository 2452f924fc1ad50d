import type { Random } from "@fescuehaven/runtime";

/** Draws up to `count` different items. */
export function sampleWithoutReplacement<T>(items: readonly T[], count: number, random: Random): readonly T[] {
    if (items.length <= count) {
        return items;
    }
    const left = [...items];
    for (let drawn = 0; drawn < count; drawn++) {
        const other = drawn + Math.floor(random.next() * (left.length - drawn));
        [left[drawn], left[other]] = [left[other]!, left[drawn]!];
    }
    return left.slice(0, count);
}
