import type { Announcements } from "./Announcements.js";
import type { NotRunReason } from "./NotRunReason.js";
import type { ResponseHead } from "./ResponseHead.js";

/** Result of sending a request to an upstream. */
export type UpstreamResponse =
    | {
        kind: "answered";
        head: ResponseHead;
        /** True if the response carries the upstream's signature. */
        isSigned: boolean;
        announcements?: Announcements;
        /** Throws if the response ends before it is complete. */
        body: AsyncIterable<Buffer>;
    }
    /** The upstream did not run the request and never will. */
    | {
        kind: "not-run";
        reason: NotRunReason;
        announcements?: Announcements;
    }
    /** The request may have run. */
    | {
        kind: "unknown";
        reason: string;
        /** True if a connection kept from an earlier request was lost before any response arrived. */
        isStaleConnection?: boolean;
    };
