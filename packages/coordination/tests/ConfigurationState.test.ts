import { ManualClock, MemoryEventRecorder } from "@fescuehaven/testing";
import { expect } from "chai";
import { ConfigurationState } from "../src/ConfigurationState.js";

const KIND = "maintenance-intent";
const VALUE = { target: { kind: "vm", name: "vm" }, reason: "r", requestedBy: "o" };
const object = (name: string, revision: number, value: unknown = VALUE) => ({ kind: KIND, name, revision, value });

/** More removals than the maximum number of tombstones. */
const MANY = 1100;

describe("ConfigurationState", () => {
    let state: ConfigurationState;

    beforeEach(() => {
        const clock = ManualClock.create();
        state = ConfigurationState.create({ kinds: [KIND], clock, events: MemoryEventRecorder.create() });
    });

    const removeMany = () => {
        for (let index = 0; index < MANY; index++) {
            state.adopt(object(`i-${index}`, 2 * index + 1), "platform");
            state.remove({ kind: KIND, name: `i-${index}` }, 2 * index + 2, "platform");
            state.advanceCoveredRevision(2 * index + 2);
        }
    };

    it("keeps a limited number of tombstones, and lets no other removed object come back", () => {
        removeMany();
        expect(state.digest()).to.have.length(1000);
        expect(state.adopt(object("i-0", 1), "peer").kind).to.equal("older");
        expect(state.remove({ kind: KIND, name: "i-0" }, 2, "peer").kind).to.equal("older");
        expect(state.adopt(object("new", 2 * MANY + 1), "peer").kind).to.equal("adopted");
    });

    it("drops no tombstone above the covered revision", () => {
        for (let index = 0; index < MANY; index++) {
            state.remove({ kind: KIND, name: `i-${index}` }, 2 * index + 2, "peer");
        }
        expect(state.digest()).to.have.length(MANY);
    });

    it("adopts from a complete listing an object that it would consider removed if a peer sent it", () => {
        state.advanceCoveredRevision(10);
        expect(state.adopt(object("a", 5), "peer").kind).to.equal("older");
        expect(state.adopt(object("a", 5), "platform", true).kind).to.equal("adopted");
    });

    it("lets no replay of older changes restore an object missing from a complete listing", () => {
        state.applyCompleteState(4, () => false, "platform");
        state.remove({ kind: KIND, name: "a" }, 2, "platform");
        expect(state.adopt(object("a", 3), "platform").kind).to.equal("older");
        expect(state.get(KIND, "a")).to.be.undefined;
    });

    it("adopts no lower revision of an object, whatever else is known", () => {
        state.adopt(object("a", 5), "peer");
        expect(state.adopt(object("a", 4), "peer").kind).to.equal("older");
        expect(state.adopt(object("a", 4), "platform", true).kind).to.equal("older");
        expect(state.get(KIND, "a")?.revision).to.equal(5);
    });

    it("removes a refused object that no longer exists", () => {
        state.adopt(object("a", 5, {}), "platform", true);
        expect(state.refused()).to.have.length(1);
        state.applyCompleteState(6, () => false, "platform");
        expect(state.refused()).to.deep.equal([]);
    });

    it("keeps an object that is newer than a listing without it", () => {
        state.adopt(object("a", 5), "peer");
        state.applyCompleteState(4, () => false, "platform");
        expect(state.get(KIND, "a")?.revision).to.equal(5);
        state.applyCompleteState(6, () => false, "platform");
        expect(state.get(KIND, "a")).to.be.undefined;
    });

    it("keeps an object that is newer than a removal", () => {
        state.adopt(object("a", 5), "peer");
        expect(state.remove({ kind: KIND, name: "a" }, 4, "peer").kind).to.equal("older");
        expect(state.get(KIND, "a")?.revision).to.equal(5);
    });

    it("has equal hashes for equal digests, whatever their history", () => {
        const other = ConfigurationState.create({
            kinds: [KIND],
            clock: ManualClock.create(),
            events: MemoryEventRecorder.create(),
        });
        state.adopt(object("a", 1), "peer");
        state.adopt(object("a", 3), "peer");
        state.remove({ kind: KIND, name: "b" }, 4, "peer");
        other.remove({ kind: KIND, name: "b" }, 4, "peer");
        expect(other.hash.root()).to.not.equal(state.hash.root());
        other.adopt(object("a", 3), "peer");
        expect(other.hash.root()).to.equal(state.hash.root());
    });
});
