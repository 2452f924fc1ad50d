import { runCase } from "../lib/case.mjs";
import { call } from "../lib/client.mjs";
import { Fleet } from "../lib/engine.mjs";
import { Gateway, sleep } from "../lib/gateways.mjs";
import { configuration, models, streamCall } from "../lib/settings.mjs";
import { Store } from "../lib/store.mjs";

const DOMAINS = [0, 1, 2, 3, 4, 5];
/** Two workers crash in each of these: 6 of 42. */
const STRUCK_DOMAINS = [0, 1, 2];
/** Two groups of three, and a spare. */
const WORKERS_PER_DOMAIN = 7;
const CLIENTS = 40;
const OUTAGE_MS = 4500;
const CRASHES_AFTER_MS = 400;
const KILL_AFTER_MS = 3300;
const DEAD_MS = 3500;
/** An entry is removed after three heartbeat intervals of silence, here also while the store is down. */
const EXPIRY_MS = 3600;

await runCase(import.meta.dirname, async ({ record, hasTrouble, temporary, closers }) => {
    const store = new Store();
    await store.listen();
    closers.push(() => store.close());
    store.put("config", "main", configuration);
    const fleet = new Fleet({ store, service: "llm", models, log: record });
    closers.push(() => fleet.close());
    for (const domain of DOMAINS) {
        for (let index = 0; index < WORKERS_PER_DOMAIN; index++) {
            await fleet.add(`i-${domain}${index}`, { domain, staged: ["m0"] });
            await sleep(50);
        }
    }
    const gateways = await Promise.all(
        [1, 2, 3].map(index => Gateway.create({ index, zone: "a", storeAddress: store.address, folder: temporary })),
    );
    gateways.forEach(gateway => gateway.start());
    closers.push(() => Promise.all(gateways.map(gateway => gateway.stop())));
    await Promise.all(gateways.map(gateway => gateway.untilReady()));
    await sleep(7000);

    const answers = [];
    let isRunning = true;
    const clients = Array.from({ length: CLIENTS }, async (_, client) => {
        for (let turn = client; isRunning; turn++) {
            const answer = await call(gateways[turn % gateways.length], streamCall);
            answers.push(answer);
            record("answer", { id: answer.id, status: answer.status, isWhole: answer.isWhole });
            await sleep(answer.status === 200 ? 20 : 300);
        }
    });
    const groups = () =>
        [...fleet.engines.values()].map(({ id, isAlive, group }) =>
            `${id}${isAlive ? "" : "!"}:${group?.name}@${group?.epoch} ${group?.state}`
        );
    await sleep(2000);
    record("before", groups());
    if (hasTrouble) {
        store.setMode("busy");
        const downAtMs = performance.now();
        record("the store is down");
        await sleep(CRASHES_AFTER_MS);
        for (const domain of STRUCK_DOMAINS) {
            const heads = [...fleet.engines.values()].filter(item => item.domain === domain && item.leads());
            for (const { group } of heads) {
                record("worker crashes", { engine: group.members[1], group: group.name });
                fleet.engines.get(group.members[1]).crash();
            }
        }
        await sleep(KILL_AFTER_MS - CRASHES_AFTER_MS);
        record("during the outage", groups());
        const leader = gateways.find(({ name }) => store.get("fescue_controllers", "fleet").specification.vm === name);
        record("the process that wrote the lease is killed", { gateway: leader.name });
        leader.signal("SIGKILL");
        void sleep(DEAD_MS).then(() => leader.start());
        await sleep(OUTAGE_MS - (performance.now() - downAtMs));
        fleet.engines.forEach(({ id, lastWrittenAtMs }) => {
            if (performance.now() - lastWrittenAtMs > EXPIRY_MS) {
                store.remove("servers", id);
            }
        });
        store.setMode("up");
        record("the store is back");
    }
    await sleep(6000);
    record("after", groups());
    isRunning = false;
    await Promise.all(clients);
    fleet.runs.forEach(({ id, engine, group, isComplete = false }) => record("run", { id, engine, group, isComplete }));
    return fleet.broken;
});
