import { ConnectPeerClients, type Peer } from "@fescuehaven/coordination";
import { IntrospectionService } from "@fescuehaven/protocol";
import { SystemClock } from "@fescuehaven/runtime";
import { SilentLogger } from "@fescuehaven/testing";
import { TestAuthority } from "@fescuehaven/testing/tls";
import { expect } from "chai";
import { copyFile, mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { PeerServer, type TlsFiles, TlsIdentity } from "../../src/index.js";

const EXPIRED_MS = -60_000;
const CALL_TIMEOUT_MS = 5000;

describe("PeerServer with certificates", () => {
    let folder: string;
    let authority: TestAuthority;
    let server: PeerServer;
    let identity: TlsIdentity;
    let serverFiles: Required<TlsFiles>;
    let peer: Peer;

    beforeEach(async () => {
        folder = await mkdtemp(path.join(tmpdir(), "fescue-tls-"));
        authority = await TestAuthority.create("authority");
        serverFiles = await authority.issue(folder, "server");
        await start(serverFiles);
    });

    afterEach(async () => {
        await server.close();
        await rm(folder, { recursive: true });
    });

    async function start(files: TlsFiles): Promise<void> {
        identity = await load(files);
        const port = await freePort();
        peer = { name: "server", zone: "a", role: "router", url: `https://127.0.0.1:${port}` };
        server = PeerServer.create({
            host: "127.0.0.1",
            port,
            services: [router => router.service(IntrospectionService, { readState: () => ({ process: "server" }) })],
            interceptors: [],
            identity,
        });
        await server.listen();
    }

    async function load(files: TlsFiles): Promise<TlsIdentity> {
        const outcome = await TlsIdentity.create({
            files,
            clock: SystemClock.create(),
            logger: SilentLogger.create(),
        });
        if (outcome.kind === "unusable") {
            throw new Error(outcome.reason);
        }
        return outcome.identity;
    }

    async function call(files: TlsFiles | undefined, url = peer.url): Promise<string> {
        const own = files && await load(files);
        const clients = ConnectPeerClients.create({ tls: own && (() => own.material) });
        try {
            const client = clients.get(IntrospectionService, { ...peer, url });
            return (await client.readState({}, { timeoutMs: CALL_TIMEOUT_MS })).process;
        }
        catch {
            return "refused";
        }
        finally {
            clients.close();
        }
    }

    it("serves a peer with a certificate of the same authority", async () => {
        expect(await call(await authority.issue(folder, "good"))).to.equal("server");
    });

    it("refuses a peer with a certificate of another authority", async () => {
        const other = await TestAuthority.create("other");
        expect(await call(await other.issue(folder, "stranger", undefined, authority))).to.equal("refused");
    });

    it("refuses a peer whose certificate has expired", async () => {
        expect(await call(await authority.issue(folder, "late", EXPIRED_MS))).to.equal("refused");
    });

    it("refuses a peer without a certificate, or without encryption", async () => {
        expect(await call(undefined)).to.equal("refused");
        expect(await call(undefined, peer.url.replace("https:", "http:"))).to.equal("refused");
    });

    it("is refused by a peer that trusts another authority", async () => {
        const other = await TestAuthority.create("other");
        expect(await call(await authority.issue(folder, "wary", undefined, other))).to.equal("refused");
    });

    it("uses changed files without a restart", async () => {
        const next = await TestAuthority.create("next");
        const nextFiles = await next.issue(folder, "successor");
        for (const file of ["certificateFile", "keyFile", "authorityFile"] as const) {
            await copyFile(nextFiles[file], serverFiles[file]);
        }
        await identity.refresh();
        expect(await call(await next.issue(folder, "new-client"))).to.equal("server");
        expect(await call(await authority.issue(folder, "old-client"))).to.equal("refused");
    });

    it("keeps the last valid files when the changed ones cannot be used", async () => {
        await writeFile(serverFiles.keyFile, "no key");
        await identity.refresh();
        expect(await call(await authority.issue(folder, "good"))).to.equal("server");
    });
});

async function freePort(): Promise<number> {
    const probe = createServer();
    await new Promise<void>(resolve => probe.listen(0, "127.0.0.1", resolve));
    const { port } = probe.address() as AddressInfo;
    await new Promise(resolve => probe.close(resolve));
    return port;
}
