import { runCase } from "../lib/case.mjs";
import { call } from "../lib/client.mjs";
import { Fleet } from "../lib/engine.mjs";
import { Gateway, sleep } from "../lib/gateways.mjs";
import { configuration, models, streamCall } from "../lib/settings.mjs";
import { Store } from "../lib/store.mjs";

/** How long the entry of the other writer is there. */
const ENTRY_MS = 3000;
/** Groups form within two seconds of the start. */
const FORMATION_MS = 12_000;
const CALLS = 200;
const CALL_INTERVAL_MS = 50;

await runCase(import.meta.dirname, async ({ record, hasTrouble, temporary, closers }) => {
    const store = new Store();
    await store.listen();
    closers.push(() => store.close());
    store.put("config", "main", configuration);
    if (hasTrouble) {
        // An entry of another writer, of a service that neither the pages nor the configuration name.
        const entry = {
            service: "archive",
            address: "127.0.0.1:9",
            zone: "a",
            version: "v1",
            slots: 1,
            state: "ready",
            coldRemainingMs: 0,
            sequence: 1,
            born: 1_700_000_000_000,
            group: { name: "archive", epoch: 2_147_483_647, rank: 0, state: "open" },
        };
        store.put("servers", "archive-1", entry);
        record("entry of another writer", entry);
    }
    const fleet = new Fleet({ store, service: "llm", models, log: record });
    closers.push(() => fleet.close());
    for (let index = 0; index < 7; index++) {
        await fleet.add(`i-${index}`, { staged: ["m0"] });
    }
    const gateways = await Promise.all(
        [1, 2, 3].map(index => Gateway.create({ index, zone: "a", storeAddress: store.address, folder: temporary })),
    );
    gateways.forEach(gateway => gateway.start());
    closers.push(() => Promise.all(gateways.map(gateway => gateway.stop())));
    await Promise.all(gateways.map(gateway => gateway.untilReady()));
    await sleep(ENTRY_MS);
    if (hasTrouble) {
        store.remove("servers", "archive-1");
        record("the entry of the other writer is removed");
    }
    await sleep(FORMATION_MS - ENTRY_MS);
    const calls = [];
    for (let index = 0; index < CALLS; index++) {
        calls.push(call(gateways[index % gateways.length], streamCall));
        await sleep(CALL_INTERVAL_MS);
    }
    const answers = await Promise.all(calls);
    answers.forEach(({ id, status, isWhole }) => record("answer", { id, status, isWhole }));
    fleet.runs.forEach(run => record("run", run));
    fleet.engines.forEach(item => record("worker", { id: item.id, ...item.state() }));
    const served = answers.filter(({ status, isWhole }) => status === 200 && isWhole).length;
    record("served", { served, of: answers.length });
    return served === 0 ? [`no request is served: ${answers.length} sent, ${fleet.runs.length} run`] : [];
});
