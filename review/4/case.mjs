import { runCase } from "../lib/case.mjs";
import { call } from "../lib/client.mjs";
import { Gateway, sleep } from "../lib/gateways.mjs";
import { PlainService } from "../lib/plain.mjs";
import { Proxy } from "../lib/proxy.mjs";
import { configuration, HOST } from "../lib/settings.mjs";
import { Store } from "../lib/store.mjs";

/** `configApplyMs` of the settings. */
const CONFIG_APPLY_MS = 2000;
const CUT_MS = 4000;
const REVOKED_KEY = "revoked-key";
const CALL_INTERVAL_MS = 20;

/** Returns a version of the configuration whose tenant has these keys. */
function versionWith(version, apiKeys) {
    return { ...configuration, version, tenants: [{ name: "acme", apiKeys }] };
}

await runCase(import.meta.dirname, async ({ record, hasTrouble, temporary, closers }) => {
    const store = new Store();
    await store.listen();
    closers.push(() => store.close());
    store.put("config", "main", versionWith(7, ["key", REVOKED_KEY]));
    const service = new PlainService({ store, service: "app" });
    closers.push(() => service.close());
    for (const id of ["i-1", "i-2", "i-3"]) {
        await service.add(id);
    }
    const gateways = [];
    for (const index of [1, 2, 3]) {
        const proxy = new Proxy();
        await proxy.listen(store.address);
        closers.push(() => proxy.close());
        const gateway = await Gateway.create({ index, zone: "a", storeAddress: proxy.address, folder: temporary });
        gateways.push(Object.assign(gateway, { proxy }));
    }
    closers.push(() => Promise.all(gateways.map(gateway => gateway.stop())));
    gateways.forEach(gateway => gateway.start());
    await Promise.all(gateways.map(gateway => gateway.untilReady()));
    await sleep(6000);
    const leaderName = store.get("fescue_controllers", "fleet").specification.vm;
    const leader = gateways.find(({ name }) => name === leaderName);
    const others = gateways.filter(gateway => gateway !== leader);
    record("the process that wrote the lease", { gateway: leaderName });

    const calls = [];
    let isRunning = true;
    const client = (async () => {
        for (let turn = 0; isRunning; turn++) {
            const gateway = others[turn % others.length];
            const key = { hostName: HOST, path: "/bookings/x", deadlineMs: 4000, key: REVOKED_KEY, body: "{}" };
            calls.push(call(gateway, key).then(answer => ({ ...answer, gateway: gateway.name })));
            await sleep(CALL_INTERVAL_MS);
        }
    })();
    await sleep(1000);
    // Two configurations in quick succession; the second one takes a key away.
    store.put("config", "main", versionWith(8, ["key", REVOKED_KEY, "new-key"]));
    record("version 8 is acknowledged");
    await sleep(150);
    if (hasTrouble) {
        leader.proxy.isCut = true;
        record("that process is partitioned from the store", { gateway: leaderName });
    }
    await sleep(50);
    store.put("config", "main", versionWith(9, ["key", "new-key"]));
    const acknowledgedAtMs = performance.now();
    record("version 9 is acknowledged, which takes the key away");
    await sleep(CUT_MS);
    isRunning = false;
    await client;
    const answers = await Promise.all(calls);
    const ranIds = new Set(service.runs.map(({ id }) => id));
    for (const { id, gateway, status, sentAtMs } of answers) {
        const sentAfterMs = Math.round(sentAtMs - acknowledgedAtMs);
        record("answer", { id, gateway, status, sentAfterMs, hasRun: ranIds.has(id) });
    }
    const late = answers.filter(({ id, sentAtMs }) => sentAtMs > acknowledgedAtMs + CONFIG_APPLY_MS && ranIds.has(id));
    record("late", { count: late.length });
    return late.map(({ id, gateway, sentAtMs }) =>
        `CONFIG: ${id} ran with the key that was taken away, sent to ${gateway} `
        + `${Math.round(sentAtMs - acknowledgedAtMs)} ms after the acknowledgement`
    );
});
