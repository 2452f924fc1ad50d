import type { ReadOutcome } from "@fescuehaven/platform";
import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { ConfigurationVerifier } from "../src/ConfigurationVerifier.js";
import { SilentDecisionLog } from "./support/SilentDecisionLog.js";

const VALID_FOR_MS = 1000;
const TIMEOUT_MS = 1000;

describe("ConfigurationVerifier", () => {
    let clock: ManualClock;
    let verifier: ConfigurationVerifier;
    let reads: number;
    let read: () => Promise<ReadOutcome & { ageMs?: number; }>;
    let active: number;
    let isInDoubt: boolean;
    /** Version that another gateway is known to have. */
    let peerVersion: number;

    beforeEach(() => {
        clock = ManualClock.create();
        reads = 0;
        active = 1;
        isInDoubt = true;
        peerVersion = 1;
        read = () => Promise.resolve(found(2));
        verifier = ConfigurationVerifier.create({
            clock,
            log: SilentDecisionLog.create(),
            read: () => {
                reads += 1;
                return read();
            },
            adopt: value => {
                active = Math.max(active, value as number);
            },
            isInDoubt: () => isInDoubt,
            isBehind: () => active < peerVersion,
            catchUp: () => {
                active = peerVersion;
                return Promise.resolve();
            },
            validForMs: VALID_FOR_MS,
        });
    });

    function found(version: number): ReadOutcome {
        return { kind: "found", object: { kind: "config", name: "main", revision: version, value: version } };
    }

    /** Returns the result of a verification that has ended within `withinMs`. */
    async function verifyWithin(withinMs: number): Promise<boolean | undefined> {
        let result: boolean | undefined;
        void verifier.verify().then(isVerified => {
            result = isVerified;
        });
        await clock.advance(withinMs);
        return result;
    }

    // Guards against a call to the store for every request with an unknown route or key.
    it("reads nothing while there is no doubt", async () => {
        isInDoubt = false;
        expect([await verifyWithin(0), active, reads]).to.deep.equal([true, 1, 0]);
    });

    it("activates what it reads, and reads again once that is too old", async () => {
        expect([await verifyWithin(0), active, reads]).to.deep.equal([true, 2, 1]);
        expect([await verifyWithin(VALID_FOR_MS - 1), reads]).to.deep.equal([true, 1]);
        await clock.advance(1);
        expect([await verifyWithin(0), reads]).to.deep.equal([true, 2]);
    });

    it("counts from the start of the call, as the response may have been delayed", async () => {
        read = () => clock.sleep(VALID_FOR_MS / 2).then(() => found(1));
        expect(await verifyWithin(VALID_FOR_MS / 2)).to.equal(true);
        await clock.advance(VALID_FOR_MS / 2);
        await verifyWithin(0);
        expect(reads).to.equal(2);
    });

    // Guards against a denial that rests on a peer's view for as long again as the view may be old.
    it("counts from the time of a peer's view that was read instead of the store", async () => {
        read = () => Promise.resolve({ ...found(1), ageMs: VALID_FOR_MS / 2 });
        expect(await verifyWithin(0)).to.equal(true);
        await clock.advance(VALID_FOR_MS / 2);
        await verifyWithin(0);
        expect([reads, verifier.verifiedAtMs]).to.deep.equal([2, clock.monotonicMs() - VALID_FOR_MS / 2]);
    });

    it("starts a refresh at most once in the time for which it counts", async () => {
        read = () => Promise.resolve({ kind: "unavailable", retryAfterMs: 100 });
        for (let index = 0; index < 10; index++) {
            verifier.refresh();
            await clock.advance(VALID_FOR_MS / 5);
        }
        expect(reads).to.equal(2);
    });

    it("reads at once if another gateway is known to have a newer version", async () => {
        await verifyWithin(0);
        peerVersion = 3;
        read = () => Promise.resolve(found(3));
        expect([await verifyWithin(0), active, reads]).to.deep.equal([true, 3, 2]);
    });

    // Guards against a denial that is confirmed by a store which was restored without the newest version.
    it("takes a version that the store does not have from other gateways", async () => {
        peerVersion = 5;
        expect([await verifyWithin(0), active]).to.deep.equal([true, 5]);
    });

    it("gives up after its timeout, and reads once for all who wait", async () => {
        read = () => new Promise(() => undefined);
        const results = Array.from({ length: 20 }, () => verifyWithin(0));
        await Promise.all(results);
        expect(await verifyWithin(TIMEOUT_MS)).to.equal(false);
        expect(reads).to.equal(1);
    });

    it("is not verified while nothing can be read, and reads again for the next denial", async () => {
        read = () => Promise.resolve({ kind: "unavailable", retryAfterMs: 100 });
        expect([await verifyWithin(0), await verifyWithin(0), reads]).to.deep.equal([false, false, 2]);
    });

    it("is verified if there is no configuration", async () => {
        read = () => Promise.resolve({ kind: "absent" });
        expect([await verifyWithin(0), active]).to.deep.equal([true, 1]);
    });
});
