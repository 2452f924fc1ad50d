import { createPeerServer, DaemonContext, HealthServer, loadIdentity, runDaemon, ZoneViews } from "@fescuehaven/daemon";
import { type ControllerSettings, controllerSettingsSchema } from "../ControllerSettings.js";
import { ZoneController } from "../ZoneController.js";

await runDaemon({
    name: "fescue-controller",
    description: "Claims VMs, forms serving groups and carries out maintenance intents in one availability zone.",
    schema: controllerSettingsSchema,
    run: runController,
});

async function runController(settings: ControllerSettings, stop: AbortSignal): Promise<void> {
    const context = DaemonContext.create(settings);
    const identity = await loadIdentity(context, settings.peerTls);
    const views = ZoneViews.create({ context, identity, probes: false });
    const controller = ZoneController.create({
        process: settings.process,
        zone: settings.zone,
        store: context.store,
        configuration: views.configuration,
        evidence: views.evidence,
        engines: views.engines,
        vms: views.vms,
        clock: context.clock,
        random: context.random,
        recorder: context.events,
        logger: context.logger("controller"),
        metrics: context.metrics,
        timings: {
            maxConcurrentLoads: settings.maxConcurrentLoads,
            memberLostAfterMs: settings.memberLostAfterMs,
            drainBoundMs: settings.drainBoundMs,
        },
        leaseTimings: { durationMs: settings.leaseDurationMs },
    });
    const peerServer = createPeerServer({
        context,
        views,
        identity,
        role: "controller",
        state: () => ({ active: controller.isActive() }),
        services: [],
    });
    const health = HealthServer.create({ ...settings.listen, ready: () => views.configuration.complete });
    await peerServer.listen();
    await health.listen();
    context.events.record({ kind: "process-started" });
    context.logger("process").info("Started.");

    const viewsStop = new AbortController();
    const viewsRunning = Promise.all([views.run(viewsStop.signal), identity?.run(viewsStop.signal)]);
    await controller.run(stop);
    context.events.record({ kind: "process-stopped" });
    viewsStop.abort();
    await viewsRunning;
    await Promise.all([health.close(), peerServer.close(), views.close()]);
    await context.close();
}
