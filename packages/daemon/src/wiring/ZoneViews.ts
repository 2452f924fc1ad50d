import type { ConnectRouter } from "@connectrpc/connect";
import {
    ConfigurationSync,
    ConnectPeerClients,
    EvidenceExchange,
    HttpEngineControl,
    PeerDirectory,
    VmListSync,
} from "@fescuehaven/coordination";
import type { TlsIdentity } from "../adapters/TlsIdentity.js";
import { listedPeers } from "../util/listedPeers.js";
import type { DaemonContext } from "./DaemonContext.js";

/** What a `ZoneViews` is made of. */
interface ZoneViewsOptions {
    context: DaemonContext;
    /** True for routers: take a share of the probing. */
    probes: boolean;
    /** Certificates between the system's own processes; left out: no encryption. */
    identity?: TlsIdentity;
}

/** What a daemon knows of the rest of the system: VMs, peers, configuration in force, readiness evidence. */
export class ZoneViews {
    readonly vms: VmListSync;
    readonly peers: PeerDirectory;
    readonly clients: ConnectPeerClients;
    readonly engines: HttpEngineControl;
    readonly configuration: ConfigurationSync;
    readonly evidence: EvidenceExchange;

    private constructor(options: ZoneViewsOptions) {
        const { context } = options;
        const { settings, clock, random, events } = context;
        const { process, zone, localAddress } = settings;
        this.vms = VmListSync.create({
            directory: context.vmDirectory,
            clock,
            random,
            logger: context.logger("vms"),
        });
        this.peers = PeerDirectory.create({
            process,
            configured: settings.peers,
            vms: this.vms,
            peersOf: vm => listedPeers(settings, vm),
        });
        const { identity } = options;
        this.clients = ConnectPeerClients.create({ localAddress, tls: identity && (() => identity.material) });
        identity?.onChange(() => this.clients.abandonAll());
        this.engines = HttpEngineControl.create({ localAddress });
        this.configuration = ConfigurationSync.create({
            process,
            zone,
            store: context.store,
            peers: this.peers,
            clients: this.clients,
            clock,
            random,
            logger: context.logger("configuration"),
            events,
        });
        this.evidence = EvidenceExchange.create({
            process,
            zone,
            probes: options.probes,
            configuration: this.configuration,
            vms: this.vms,
            peers: this.peers,
            clients: this.clients,
            control: this.engines,
            clock,
            random,
            logger: context.logger("evidence"),
            events,
        });
    }

    /** Creates the views; `run` fills them. */
    static create(options: ZoneViewsOptions): ZoneViews {
        return new ZoneViews(options);
    }

    /** Adds the services that spread them to the peer server. */
    registerOn(router: ConnectRouter): void {
        this.configuration.registerOn(router);
        this.evidence.registerOn(router);
    }

    /** Keeps them up to date until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([this.vms.run(signal), this.configuration.run(signal), this.evidence.run(signal)]);
    }

    /** What of the configuration is in force and since when, for operators. */
    describe(): Record<string, unknown> {
        const inForce = this.configuration.digest().map(entry => ({
            kind: entry.kind,
            name: entry.name,
            revision: entry.revision,
            removed: entry.deleted,
            since: this.configuration.activeRevision(entry)?.since.toISOString(),
        }));
        return {
            configurationComplete: this.configuration.complete,
            platformAvailable: this.configuration.platformAvailable,
            inForce,
            refused: this.configuration.refused(),
            readyGroups: this.evidence.readyGroups().map(({ group, epoch }) => ({ group, epoch })),
        };
    }

    /** Closes every connection. */
    async close(): Promise<void> {
        this.clients.close();
        await this.engines.close();
    }
}
