import type { Random } from "@fescuehaven/runtime";

/** Returns up to `count` random items, each at most once. */
export function sampleWithoutReplacement<T>(items: readonly T[], count: number, random: Random): readonly T[] {
    if (items.length <= count) {
        return items;
    }
    const remaining = [...items];
    for (let drawn = 0; drawn < count; drawn++) {
        const other = drawn + Math.floor(random.next() * (remaining.length - drawn));
        [remaining[drawn], remaining[other]] = [remaining[other]!, remaining[drawn]!];
    }
    return remaining.slice(0, count);
}
