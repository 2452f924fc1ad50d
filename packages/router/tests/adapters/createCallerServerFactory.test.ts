import { TlsIdentity } from "@fescuehaven/daemon";
import { SystemClock } from "@fescuehaven/runtime";
import { SilentLogger } from "@fescuehaven/testing";
import { TestAuthority } from "@fescuehaven/testing/tls";
import { expect } from "chai";
import fastify, { type FastifyInstance } from "fastify";
import { copyFile, mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { Agent, request } from "undici";
import { createCallerServerFactory } from "../../src/adapters/createCallerServerFactory.js";

const EXPIRED_MS = -60_000;

describe("createCallerServerFactory", () => {
    let folder: string;
    let server: FastifyInstance | undefined;

    beforeEach(async () => {
        folder = await mkdtemp(path.join(tmpdir(), "fescue-caller-tls-"));
    });

    afterEach(async () => {
        await server?.close();
        await rm(folder, { recursive: true });
    });

    async function serve(certificateFile: string, keyFile: string): Promise<{ url: string; identity: TlsIdentity; }> {
        const outcome = await TlsIdentity.create({
            files: { certificateFile, keyFile },
            clock: SystemClock.create(),
            logger: SilentLogger.create(),
        });
        if (outcome.kind === "unusable") {
            throw new Error(outcome.reason);
        }
        server = fastify({ serverFactory: createCallerServerFactory(outcome.identity), forceCloseConnections: true });
        server.get("/readyz", async () => "ready");
        const url = await server.listen({ host: "127.0.0.1", port: 0 });
        return { url: url.replace("http:", "https:"), identity: outcome.identity };
    }

    async function get(url: string, authorityFile: string): Promise<string> {
        const agent = new Agent({ connect: { ca: await readFile(authorityFile, "utf8") } });
        try {
            const response = await request(`${url}/readyz`, { dispatcher: agent });
            return await response.body.text();
        }
        catch (error) {
            return (error as Error & { code?: string; }).code ?? "failed";
        }
        finally {
            await agent.destroy();
        }
    }

    it("serves callers that trust its authority, and uses a changed certificate", async () => {
        const authority = await TestAuthority.create("authority");
        const files = await authority.issue(folder, "router");
        const { url, identity } = await serve(files.certificateFile, files.keyFile);
        expect(await get(url, files.authorityFile)).to.equal("ready");

        const next = await TestAuthority.create("next-authority");
        const renewed = await next.issue(folder, "renewed");
        await copyFile(renewed.certificateFile, files.certificateFile);
        await copyFile(renewed.keyFile, files.keyFile);
        await identity.refresh();
        expect(await get(url, renewed.authorityFile)).to.equal("ready");
        expect(await get(url, files.authorityFile)).to.not.equal("ready");
    });

    it("is rejected by callers when its certificate has expired", async () => {
        const authority = await TestAuthority.create("authority");
        const files = await authority.issue(folder, "late", EXPIRED_MS);
        const { url } = await serve(files.certificateFile, files.keyFile);
        expect(await get(url, files.authorityFile)).to.equal("CERT_HAS_EXPIRED");
    });
});
