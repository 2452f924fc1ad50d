import { memoizeByObject } from "../util/memoizeByObject.js";
import type { PeerState } from "./PeerState.js";
import { withoutAges } from "./withoutAges.js";

/** What gateways learn from responses, as it is sent to peers. */
type Evidence = Pick<PeerState, "crashEvidence" | "announcedLimits" | "leavingUpstreams">;

/** After this time a peer is sent everything once more, because it drops evidence when it has too much. */
const REFRESH_INTERVAL_MS = 5000;

/** Several peers are sent the entries of one snapshot. */
const textOf = memoizeByObject((entry: object) => JSON.stringify(entry, withoutAges));

/** Selects the evidence that a peer has not been sent yet. Peers keep what they were sent. */
export class UnsentEvidence {
    /** Text of each entry that was sent, by its kind and name. */
    private readonly sent = new Map<string, string>();
    private refreshedAtMs = -Infinity;

    private constructor() {}

    /** Creates an instance for a peer that has been sent nothing. */
    static create(): UnsentEvidence {
        return new UnsentEvidence();
    }

    /** Returns the entries that are new or have changed, apart from their ages, and regards them as sent. */
    take({ crashEvidence, announcedLimits, leavingUpstreams }: Evidence, nowMs: number): Evidence {
        if (nowMs - this.refreshedAtMs >= REFRESH_INTERVAL_MS) {
            this.refreshedAtMs = nowMs;
            this.sent.clear();
        }
        const isUnsent = (kind: string, name: string, entry: object) => {
            const key = `${kind}/${name}`;
            const text = textOf(entry);
            const isNew = this.sent.get(key) !== text;
            if (isNew) {
                this.sent.set(key, text);
            }
            return isNew;
        };
        return {
            crashEvidence: {
                promptParts: crashEvidence.promptParts.filter(entry => isUnsent("promptPart", entry.part, entry)),
                requests: crashEvidence.requests.filter(entry => isUnsent("request", entry.part, entry)),
            },
            announcedLimits: announcedLimits.filter(entry => isUnsent("limit", entry.upstream, entry)),
            leavingUpstreams: leavingUpstreams.filter(entry => isUnsent("leaving", entry.upstream, entry)),
        };
    }
}
