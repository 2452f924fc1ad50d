import { Suspect } from "./Suspect.js";

type BlockedSuspect = Suspect & { block: NonNullable<Suspect["block"]>; };

const MAX_SUSPECTS = 256;

/** The suspects by prompt part. Of too many, the least important one is dropped. */
export class SuspectTable {
    private readonly suspects = new Map<string, Suspect>();

    private constructor() {}

    /** Creates an empty table. */
    static create(): SuspectTable {
        return new SuspectTable();
    }

    /** True if there is no suspect. */
    get isEmpty(): boolean {
        return this.suspects.size === 0;
    }

    /** Returns the suspect, or undefined if the part is none. */
    get(part: string): Suspect | undefined {
        return this.suspects.get(part);
    }

    /** Returns the suspect; adds one without crashes if the part is none. */
    getOrAdd(part: string, pool: string): Suspect {
        const known = this.suspects.get(part);
        if (known) {
            return known;
        }
        if (this.suspects.size >= MAX_SUSPECTS) {
            const least = this.all().reduce((first, next) => next.compareTo(first) < 0 ? next : first);
            this.suspects.delete(least.part);
        }
        const suspect = Suspect.create(part, pool);
        this.suspects.set(part, suspect);
        return suspect;
    }

    /** Returns all suspects in the order in which they were added. */
    all(): Suspect[] {
        return [...this.suspects.values()];
    }

    /** Returns the suspects whose requests are blocked. */
    blocked(): BlockedSuspect[] {
        return this.all().filter(isBlocked);
    }

    /** Removes a suspect. */
    delete(part: string): void {
        this.suspects.delete(part);
    }
}

function isBlocked(suspect: Suspect): suspect is BlockedSuspect {
    return suspect.block !== undefined;
}
