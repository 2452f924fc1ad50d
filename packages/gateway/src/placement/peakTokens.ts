/** Tokens of a request now and until its end. */
interface HeldTokens {
    heldTokens: number;
    remainingTokens: number;
}

/**
 * Returns the largest number of tokens that requests are expected to hold at the same time. All generate at the same
 * pace, and a request that ends frees its tokens, so the largest number is reached when one of them is about to end.
 */
export function peakTokens(requests: HeldTokens[]): number {
    const latestFirst = requests.sort((left, right) => right.remainingTokens - left.remainingTokens);
    let heldTokens = 0;
    let peak = 0;
    latestFirst.forEach((request, index) => {
        heldTokens += request.heldTokens;
        peak = Math.max(peak, heldTokens + (index + 1) * request.remainingTokens);
    });
    return peak;
}
