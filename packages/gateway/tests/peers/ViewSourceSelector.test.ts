import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { PeerConnections } from "../../src/peers/PeerConnections.js";
import type { ViewSource } from "../../src/peers/ViewSource.js";
import { ViewSourceSelector } from "../../src/peers/ViewSourceSelector.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";
import { unreachableAddress } from "../support/unreachableAddress.js";

/** A gateway in a fleet of which every connected peer is reachable. */
interface TestGateway {
    vm: string;
    connections: PeerConnections;
    selector: ViewSourceSelector;
    /** Peer that this gateway takes for the controller. */
    controller: string | undefined;
}

describe("ViewSourceSelector", () => {
    let gateways: Map<string, TestGateway>;
    let silentPeers: Set<string>;

    function start(vms: readonly string[], controller: string): void {
        silentPeers = new Set();
        gateways = new Map(vms.map(vm => [vm, createGateway(vm, controller)]));
        for (const { connections } of gateways.values()) {
            vms.forEach(vm => connections.add(vm, { address: unreachableAddress, zone: vm[0]! }));
        }
    }

    function createGateway(vm: string, controller: string): TestGateway {
        const connections = PeerConnections.create({
            clock: ManualClock.create(),
            random: SeededRandom.create(1),
            log: SilentDecisionLog.create(),
            vm,
            zone: vm[0]!,
            onState: () => undefined,
            onDisconnected: () => undefined,
        });
        connections.reachablePeer = (peer): ViewSource | undefined =>
            silentPeers.has(peer)
                ? undefined
                : { address: peer, silent: new AbortController().signal, isInSameZone: true };
        const gateway: TestGateway = {
            vm,
            connections,
            controller,
            selector: ViewSourceSelector.create({
                vm,
                zone: vm[0]!,
                connections,
                isController: () => gateway.controller === vm,
                controllerPeer: () => gateway.controller === vm ? undefined : gateway.controller,
            }),
        };
        return gateway;
    }

    /** Returns the gateways that read the store itself. */
    function storeReaders(): string[] {
        return [...gateways.values()].filter(({ selector }) => selector.current() === undefined).map(({ vm }) => vm);
    }

    function sourceOf(vm: string): string | undefined {
        return gateways.get(vm)!.selector.current()?.address;
    }

    afterEach(() => gateways.forEach(({ connections }) => connections.close()));

    const small = ["a1", "a2", "b1", "b2", "c1"];
    const large = ["a", "b", "c", "d", "e"].flatMap(zone =>
        Array.from({ length: 39 }, (_, index) => `${zone}${10 + index}`)
    );
    for (const [title, vms, controller] of [["a small fleet", small, "b2"], ["195 gateways", large, "c10"]] as const) {
        it(`lets only the controller of ${title} read the store`, () => {
            start(vms, controller);
            expect(storeReaders()).to.deep.equal([controller]);
        });
    }

    it("lets gateways read through the hub of their zone, and hubs through the controller", () => {
        start(large, "c10");
        expect(["a30", "a11", "a10", "c30", "c10"].map(sourceOf)).to.deep.equal([
            "a10",
            "a10",
            "c10",
            "c10",
            undefined,
        ]);
    });

    it("lets gateways read the store whose source is not reachable", () => {
        start(large, "c10");
        silentPeers.add("c10");
        silentPeers.add("b10");
        const readers = storeReaders();
        expect(readers.filter(vm => vm.endsWith("10"))).to.deep.equal(["a10", "b10", "c10", "d10", "e10"]);
        expect(readers.filter(vm => vm.startsWith("a"))).to.deep.equal(["a10"]);
        expect(readers.filter(vm => vm.startsWith("b")).length).to.equal(39);
    });

    it("aborts calls at a gateway that is no longer the controller", () => {
        start(small, "b2");
        const gateway = gateways.get("a1")!;
        const source = gateway.selector.current()!;
        gateway.selector.update();
        expect(source.silent.aborted).to.equal(false);
        gateway.controller = "c1";
        gateway.selector.update();
        expect([source.silent.aborted, sourceOf("a1")]).to.deep.equal([true, "c1"]);
    });

    it("aborts calls when this gateway becomes the controller", () => {
        start(small, "b2");
        const gateway = gateways.get("a1")!;
        const source = gateway.selector.current()!;
        gateway.controller = "a1";
        gateway.selector.update();
        expect([source.silent.aborted, sourceOf("a1")]).to.deep.equal([true, undefined]);
    });
});
