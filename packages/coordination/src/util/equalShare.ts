/**
 * Returns the part of an amount that one of `count` processes gets. The parts of all positions add up to the amount;
 * the first positions get the remainder of the division, so that a caller varies them by adding a hash to its position.
 */
export function equalShare(amount: number, count: number, position: number): number {
    return Math.floor(amount / count) + (position % count < amount % count ? 1 : 0);
}
