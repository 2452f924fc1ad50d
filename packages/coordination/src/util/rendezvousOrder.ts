/** Orders candidates for an item by rendezvous hashing: every process that knows the same candidates agrees. */
export function rendezvousOrder(item: string, candidates: readonly string[]): string[] {
    return candidates
        .map(name => ({ name, weight: hash32(`${name}\n${item}`) }))
        .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
        .map(candidate => candidate.name);
}

/** FNV-1a with a final mix. */
function hash32(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
