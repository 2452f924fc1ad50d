import { SystemClock } from "@fescuehaven/runtime";
import { expect } from "chai";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { SilentRelay } from "../../src/network/SilentRelay.js";
import { untilTrue } from "../../src/util/untilTrue.js";

const DEADLINE_MS = 5000;

describe("SilentRelay", () => {
    const clock = SystemClock.create();
    let target: Server;
    let received: string;
    let relay: SilentRelay;
    let port: number;
    let sockets: Socket[];

    beforeEach(async () => {
        received = "";
        sockets = [];
        target = createServer(socket => {
            sockets.push(socket);
            socket.on("error", () => undefined);
            socket.on("data", bytes => {
                received += bytes.toString();
                socket.write(`echo ${bytes.toString()}`);
            });
        });
        await new Promise<void>(resolve => target.listen({ host: "127.0.0.1", port: 0 }, resolve));
        const address = target.address() as AddressInfo;
        relay = SilentRelay.create({ target: { host: "127.0.0.1", port: address.port }, clock });
        port = Number(new URL(await relay.listen()).port);
    });

    afterEach(async () => {
        sockets.forEach(socket => socket.destroy());
        await relay.close();
        await new Promise(resolve => target.close(resolve));
    });

    function dial(): { socket: Socket; text: () => string; closed: () => boolean; } {
        const socket = connect({ host: "127.0.0.1", port });
        sockets.push(socket);
        let text = "";
        let isClosed = false;
        socket.on("data", bytes => {
            text += bytes.toString();
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            isClosed = true;
        });
        return { socket, text: () => text, closed: () => isClosed };
    }

    async function until(what: string, condition: () => boolean): Promise<void> {
        await untilTrue(clock, what, DEADLINE_MS, condition);
    }

    it("forwards data in both directions", async () => {
        const line = dial();
        line.socket.write("a");
        await until("echo", () => line.text() === "echo a");
    });

    it("keeps bytes in order when a delay ends", async () => {
        const line = dial();
        relay.set({ kind: "delay", delayMs: 80 });
        line.socket.write("a");
        await clock.sleep(20);
        relay.set({ kind: "forward" });
        line.socket.write("b");
        await until("arrival", () => received.length === 2);
        expect(received).to.equal("ab");
    });

    it("drops data in one direction only", async () => {
        const line = dial();
        line.socket.write("a");
        await until("echo", () => line.text() === "echo a");
        relay.set({ kind: "silent", direction: "to-source" });
        line.socket.write("b");
        await until("arrival", () => received === "ab");
        relay.set({ kind: "forward" });
        line.socket.write("c");
        await until("echo", () => line.text() === "echo aecho c");
    });

    it("keeps silenced connections open while new ones work", async () => {
        const lost = dial();
        lost.socket.write("a");
        await until("echo", () => lost.text() === "echo a");
        relay.silenceOpenConnections();
        lost.socket.write("b");
        const fresh = dial();
        fresh.socket.write("c");
        await until("echo", () => fresh.text() === "echo c");
        expect(received).to.equal("ac");
        expect(lost.closed()).to.equal(false);
    });

    it("closes the end of a silenced connection that is still open", async () => {
        const lost = dial();
        lost.socket.write("a");
        await until("echo", () => lost.text() === "echo a");
        relay.silenceOpenConnections();
        lost.socket.destroy();
        await until("one end left", () => relay.openConnections === 1);
        await relay.close();
        await until("no end left", () => relay.openConnections === 0);
    });

    it("refuses connections", async () => {
        relay.set({ kind: "refuse" });
        const line = dial();
        await until("reset", line.closed);
    });
});
