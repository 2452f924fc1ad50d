import { expect } from "chai";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { checkSettings } from "../src/commands/checkSettings.js";
import { renderSettingsPage } from "../src/renderSettingsPage.js";

const root = path.resolve(import.meta.dirname, "..", "..", "..");

const valid = {
    process: "router-1",
    region: "koper",
    zone: "zone-a",
    listen: { host: "127.0.0.1", port: 8080 },
    peerListen: { host: "127.0.0.1", port: 8081 },
    peers: [],
    platform: { url: "http://127.0.0.1:9000" },
};

describe("settings", () => {
    let folder: string;

    beforeEach(async () => {
        folder = await mkdtemp(path.join(tmpdir(), "fescue-settings-"));
    });

    afterEach(() => rm(folder, { recursive: true }));

    async function check(content: unknown): Promise<string[]> {
        const file = path.join(folder, "router.json");
        await writeFile(file, typeof content === "string" ? content : JSON.stringify(content));
        const errors: string[] = [];
        await checkSettings({ line: () => undefined, error: text => errors.push(text) }, "fescue-router", file);
        return errors.map(error => error.replace(`${file}: `, ""));
    }

    const cases: [string, unknown, string[]][] = [
        ["valid settings", valid, []],
        ["a misspelled field", { ...valid, zonne: "a" }, ["zonne"]],
        ["a wrong type", { ...valid, bodyLimitBytes: "1 MB" }, ["bodyLimitBytes"]],
        ["a port out of range", { ...valid, listen: { host: "127.0.0.1", port: 70_000 } }, ["listen.port"]],
        ["a host name in place of an IP address", { ...valid, listen: { host: "router", port: 80 } }, ["listen.host"]],
        ["two errors at once", { ...valid, zone: undefined, platform: { url: "x" } }, ["zone", "platform.url"]],
        ["a field without its unit", { ...valid, platform: { ...valid.platform, timeout: 5 } }, ["platform.timeout"]],
        ["a file that is not JSON", "{", ["(root)"]],
    ];
    for (const [what, content, paths] of cases) {
        it(`reports every error: ${what}`, async () => {
            const errors = await check(content);
            expect(errors.map(error => error.split(": ")[0])).to.have.members(paths);
        });
    }

    it("have an up-to-date reference page", async () => {
        const page = await readFile(path.join(root, "docs", "operators", "settings.md"), "utf8");
        expect(page).to.equal(renderSettingsPage());
    });
});
