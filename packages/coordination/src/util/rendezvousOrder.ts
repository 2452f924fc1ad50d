import { hash32 } from "./hash32.js";

/** Orders candidates for an item by rendezvous hashing. Processes with the same candidates compute the same order. */
export function rendezvousOrder(item: string, candidates: readonly string[]): string[] {
    return candidates
        .map(name => ({ name, weight: hash32(`${name}\n${item}`) }))
        .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
        .map(candidate => candidate.name);
}
