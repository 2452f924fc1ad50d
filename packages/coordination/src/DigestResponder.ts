import { create } from "@bufbuild/protobuf";
import {
    type ExchangeDigestRequest,
    type ExchangeDigestResponse,
    ExchangeDigestResponseSchema,
    type ObjectRevision,
} from "@fescuehaven/protocol";
import type { ConfigurationState } from "./ConfigurationState.js";
import type { DigestEntry } from "./DigestEntry.js";
import { DigestMessages } from "./DigestMessages.js";

/** Responds to digests that peers send. */
export class DigestResponder {
    private readonly messages: DigestMessages;

    private constructor(private readonly state: ConfigurationState) {
        this.messages = DigestMessages.create(state);
    }

    /** Creates a responder for one state. */
    static create(state: ConfigurationState): DigestResponder {
        return new DigestResponder(state);
    }

    /** Applies the objects that the caller pushed and returns where its digest differs from the one of this process. */
    respond(request: ExchangeDigestRequest): ExchangeDigestResponse {
        const { state } = this;
        this.messages.apply(request.pushed, `peer ${request.sender}`);
        const isSummaryRequest = request.held.length + request.buckets.length + request.pushed.length === 0;
        const differs = request.rootHash !== state.hash.root();
        const newer = this.messages.objects(this.newerThan(request));
        const fitting = this.messages.fitting(newer);
        return create(ExchangeDigestResponseSchema, {
            newer: fitting,
            partial: fitting.length < newer.length,
            wanted: this.wanted(request.held),
            rootHash: state.hash.root(),
            bucketHashes: isSummaryRequest && differs ? state.hash.bucketHashes() : [],
            complete: state.complete,
            coveredRevision: BigInt(state.coveredRevision),
            refused: this.messages.revisions(state.refused()),
        });
    }

    private newerThan(request: ExchangeDigestRequest): DigestEntry[] {
        const theirs = new Map(request.held.map(entry => [`${entry.kind}/${entry.name}`, Number(entry.revision)]));
        const inBuckets = request.buckets.length > 0 ? this.state.digestOf(new Set(request.buckets)) : [];
        const known = request.held.map(entry => ({
            kind: entry.kind,
            name: entry.name,
            revision: this.state.revisionOf(entry),
            deleted: false,
        }));
        const candidates = new Map([...inBuckets, ...known].map(entry => [`${entry.kind}/${entry.name}`, entry]));
        return [...candidates].filter(([id, entry]) => entry.revision > (theirs.get(id) ?? 0)).map(([, entry]) =>
            entry
        );
    }

    /** Returns the caller's entries that are newer, with the revision known here; 0 if there is none. */
    private wanted(held: readonly ObjectRevision[]): ObjectRevision[] {
        const behind = held
            .map(entry => ({ entry, revision: this.state.revisionOf(entry) }))
            .filter(({ entry, revision }) => revision < Number(entry.revision));
        return this.messages.revisions(behind.map(({ entry, revision }) => ({
            kind: entry.kind,
            name: entry.name,
            revision,
            deleted: false,
        })));
    }
}
