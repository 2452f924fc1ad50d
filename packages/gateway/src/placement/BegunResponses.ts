/** A response that has begun. */
interface BegunResponse {
    id: number;
    /** On the monotonic clock. */
    atMs: number;
}

const MAX_PARTS = 4096;

/** The latest response that has begun to a prompt with each part; the least recently updated parts are dropped. */
export class BegunResponses {
    private readonly latest = new Map<string, BegunResponse>();

    private constructor() {}

    /** Creates a record without responses. */
    static create(): BegunResponses {
        return new BegunResponses();
    }

    /** Records a response; returns false if it was known, or is not the latest. */
    record(part: string, reported: BegunResponse): boolean {
        const known = this.latest.get(part);
        // The earliest report of one response is the most accurate, as later ones were relayed.
        const isNews = !known || (reported.id === known.id ? reported.atMs < known.atMs : reported.atMs > known.atMs);
        if (!isNews) {
            return false;
        }
        this.latest.delete(part);
        this.latest.set(part, reported);
        if (this.latest.size > MAX_PARTS) {
            this.latest.delete(this.latest.keys().next().value ?? "");
        }
        return true;
    }

    /** Returns the latest response, or undefined if none is known. */
    get(part: string): BegunResponse | undefined {
        return this.latest.get(part);
    }
}
