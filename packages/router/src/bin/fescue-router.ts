import { Journal } from "@fescuehaven/coordination";
import { createPeerServer, DaemonContext, loadIdentity, runDaemon, ZoneViews } from "@fescuehaven/daemon";
import { ConnectZoneForwarder } from "../adapters/ConnectZoneForwarder.js";
import { createCallerServerFactory } from "../adapters/createCallerServerFactory.js";
import { HttpEngineClient } from "../adapters/HttpEngineClient.js";
import { HttpServiceClient } from "../adapters/HttpServiceClient.js";
import { createRouter } from "../createRouter.js";
import { StaticShare } from "../limits/StaticShare.js";
import { type RouterSettings, routerSettingsSchema } from "../RouterSettings.js";

await runDaemon({
    name: "fescue-router",
    description: "Accepts callers' requests, routes them to ready groups and services, and streams the responses back.",
    schema: routerSettingsSchema,
    run: runRouter,
});

async function runRouter(settings: RouterSettings, stop: AbortSignal): Promise<void> {
    const { localAddress, connectTimeoutMs, maxAnswerBytes } = settings;
    const context = DaemonContext.create(settings);
    const identity = await loadIdentity(context, settings.peerTls);
    const callerIdentity = await loadIdentity(context, settings.callerTls);
    const views = ZoneViews.create({ context, identity, probes: true });
    const journal = Journal.create({
        process: settings.process,
        settings: settings.journal,
        store: context.store,
        peers: views.peers,
        clients: views.clients,
        clock: context.clock,
        random: context.random,
        logger: context.logger("journal"),
        metrics: context.metrics,
    });
    const router = createRouter({
        serverFactory: callerIdentity && createCallerServerFactory(callerIdentity),
        settings,
        clock: context.clock,
        random: context.random,
        events: context.events,
        logger: context.logger("router"),
        metrics: context.metrics,
        configuration: views.configuration,
        evidence: views.evidence,
        vms: views.vms,
        peers: views.peers,
        share: StaticShare.create({
            vms: views.vms,
            zone: settings.zone,
            address: localAddress ?? settings.peerListen.host,
            plannedRouters: settings.plannedRouters,
        }),
        engines: HttpEngineClient.create({ localAddress, connectTimeoutMs }),
        services: HttpServiceClient.create({ localAddress, connectTimeoutMs, maxAnswerBytes }),
        forwarder: ConnectZoneForwarder.create({ clients: views.clients }),
        journal,
    });
    const peerServer = createPeerServer({
        context,
        views,
        identity,
        role: "router",
        state: () => ({}),
        services: [
            connectRouter => router.registerOn(connectRouter),
            connectRouter => journal.registerOn(connectRouter),
        ],
    });
    const running = new AbortController();
    const work = Promise.all([
        views.run(running.signal),
        router.run(running.signal),
        journal.run(running.signal),
        identity?.run(running.signal),
        callerIdentity?.run(running.signal),
    ]);
    await peerServer.listen();
    await router.server.listen(settings.listen.host, settings.listen.port);
    context.events.record({ kind: "process-started" });
    context.logger("process").info("Started.");

    await untilAborted(stop);
    await router.drain();
    context.events.record({ kind: "process-stopped" });
    running.abort();
    await work;
    await Promise.all([peerServer.close(), views.close()]);
    await context.close();
}

function untilAborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}
