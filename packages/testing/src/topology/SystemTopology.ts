import type { VmRecord } from "@fescuehaven/platform";
import type { z } from "zod";
import type { ProcessSpec } from "../launcher/ProcessSpec.js";
import type { EntryVm } from "./EntryVm.js";
import { shortName } from "./shortName.js";
import { type TopologyOptions, topologyOptionsSchema } from "./TopologyOptions.js";

/** Last octets of the addresses in a zone's network. */
const FIRST_ENTRY_OCTET = 1;
const FIRST_ENGINE_OCTET = 50;
const SERVICE_OCTET = 40;

/** Ports, counted from the base. */
const PORTS = { platform: 0, router: 1, routerPeers: 2, controller: 3, controllerPeers: 4, engine: 5, service: 6 };

/** Accelerators of an engine VM. */
const ACCELERATORS = 8;

/** The processes of a whole system on loopback addresses, each VM with an address of its own, and their settings. */
export class SystemTopology {
    /** Base URL of the platform. */
    readonly platformUrl: string;
    /** Every entry VM, zone by zone. */
    readonly entryVms: readonly EntryVm[];
    /** Every engine VM as the platform lists it. */
    readonly engineVms: readonly VmRecord[];

    private constructor(readonly options: TopologyOptions) {
        this.platformUrl = `http://127.${options.octet}.0.1:${options.basePort + PORTS.platform}`;
        this.entryVms = options.zones.flatMap((zone, index) => this.entryVmsOf(zone, index));
        this.engineVms = options.zones.flatMap((zone, index) => this.engineVmsOf(zone, index));
    }

    /** Works out a topology; fields left out have their default. */
    static create(options: z.input<typeof topologyOptionsSchema>): SystemTopology {
        return new SystemTopology(topologyOptionsSchema.parse(options));
    }

    /** All VMs as the platform lists them. */
    vmRecords(): VmRecord[] {
        const entries = this.entryVms.map((vm): VmRecord => ({
            name: vm.name,
            region: this.options.region,
            zone: vm.zone,
            fabricDomain: `domain-${shortName(vm.zone)}-entry`,
            role: "entry",
            address: vm.address,
            enginePort: 0,
            accelerators: 0,
            state: "live",
        }));
        return [...entries, ...this.engineVms];
    }

    /** Base URL of a zone's endpoint of the plain service. */
    serviceUrl(zone: string): string {
        const address = this.address(this.options.zones.indexOf(zone), SERVICE_OCTET);
        return `http://${address}:${this.options.basePort + PORTS.service}`;
    }

    /** Base URL of an engine VM. */
    engineUrl(vm: string): string {
        const record = this.engineVms.find(candidate => candidate.name === vm);
        if (!record) {
            throw new Error(`No engine VM ${vm}.`);
        }
        return `http://${record.address}:${record.enginePort}`;
    }

    /** The stand-ins: platform, engines, one service endpoint a zone. */
    standins(): ProcessSpec[] {
        return [this.platformSpec(), ...this.engineSpecs(), ...this.options.zones.map(zone => this.serviceSpec(zone))];
    }

    /** Every router and controller. */
    daemons(): ProcessSpec[] {
        return this.entryVms.flatMap(vm => [this.routerSpec(vm), this.controllerSpec(vm)]);
    }

    /** The router of an entry VM. */
    routerSpec(vm: EntryVm): ProcessSpec {
        return this.daemonSpec("fescue-router", vm, vm.router, this.options.router);
    }

    /** The controller of an entry VM. */
    controllerSpec(vm: EntryVm): ProcessSpec {
        return this.daemonSpec("fescue-controller", vm, vm.controller, this.options.controller);
    }

    /** Names of the engine processes that host the VMs. */
    engineProcessOf(vm: string): string {
        const zone = this.engineVms.find(candidate => candidate.name === vm)?.zone ?? "";
        const names = { one: "engines", zone: `engines-${shortName(zone)}`, vm: `engine-${vm}` };
        return names[this.options.engineProcesses];
    }

    private daemonSpec(binary: string, vm: EntryVm, endpoint: EntryVm["router"], extra: object): ProcessSpec {
        const settings = {
            process: endpoint.name,
            region: this.options.region,
            zone: vm.zone,
            localAddress: vm.address,
            listen: hostAndPort(endpoint.url),
            peerListen: hostAndPort(endpoint.peerUrl),
            peers: this.peersBut(endpoint.name),
            platform: { url: this.platformUrl },
            logging: { level: this.options.logLevel },
            ...extra,
        };
        return { name: endpoint.name, binary, settings, readyUrl: `${endpoint.url}/readyz` };
    }

    private peersBut(name: string): object[] {
        return this.entryVms
            .flatMap(vm => [
                { name: vm.router.name, zone: vm.zone, role: "router", url: vm.router.peerUrl },
                { name: vm.controller.name, zone: vm.zone, role: "controller", url: vm.controller.peerUrl },
            ])
            .filter(peer => peer.name !== name);
    }

    private platformSpec(): ProcessSpec {
        const settings = { listen: hostAndPort(this.platformUrl), vms: this.vmRecords(), ...this.options.platform };
        return { name: "platform", binary: "standin-platform", settings, readyUrl: `${this.platformUrl}/readyz` };
    }

    private serviceSpec(zone: string): ProcessSpec {
        const url = this.serviceUrl(zone);
        const settings = { listen: hostAndPort(url), ...this.options.service };
        return { name: `service-${shortName(zone)}`, binary: "standin-service", settings, readyUrl: `${url}/readyz` };
    }

    private engineSpecs(): ProcessSpec[] {
        const names = [...new Set(this.engineVms.map(vm => this.engineProcessOf(vm.name)))];
        return names.map((name, index) => {
            const vms = this.engineVms.filter(vm => this.engineProcessOf(vm.name) === name);
            return {
                name,
                binary: "standin-engine",
                settings: {
                    vms: vms.map(vm => ({ name: vm.name, host: vm.address, port: vm.enginePort })),
                    weightStoreGiBPerSecond: this.options.weightStoreGiBPerSecond,
                    seed: index + 1,
                    behaviour: this.options.engineBehaviour,
                },
                readyUrl: `http://${vms[0]?.address}:${vms[0]?.enginePort}/readyz`,
            };
        });
    }

    private entryVmsOf(zone: string, zoneIndex: number): EntryVm[] {
        return Array.from({ length: this.options.entryVmsPerZone }, (_, index) => {
            const address = this.address(zoneIndex, FIRST_ENTRY_OCTET + index);
            const url = (port: number) => `http://${address}:${this.options.basePort + port}`;
            const suffix = `${shortName(zone)}-${index + 1}`;
            return {
                name: `entry-${suffix}`,
                zone,
                address,
                router: { name: `router-${suffix}`, url: url(PORTS.router), peerUrl: url(PORTS.routerPeers) },
                controller: {
                    name: `controller-${suffix}`,
                    url: url(PORTS.controller),
                    peerUrl: url(PORTS.controllerPeers),
                },
            };
        });
    }

    private engineVmsOf(zone: string, zoneIndex: number): VmRecord[] {
        const { engineVmsPerZone, vmsPerFabricDomain, region, basePort } = this.options;
        return Array.from({ length: engineVmsPerZone }, (_, index) => ({
            name: `vm-${shortName(zone)}-${index + 1}`,
            region,
            zone,
            fabricDomain: `domain-${shortName(zone)}-${Math.floor(index / vmsPerFabricDomain) + 1}`,
            role: "engine" as const,
            address: this.address(zoneIndex, FIRST_ENGINE_OCTET + index),
            enginePort: basePort + PORTS.engine,
            accelerators: ACCELERATORS,
            state: "live" as const,
        }));
    }

    private address(zoneIndex: number, last: number): string {
        return `127.${this.options.octet}.${zoneIndex + 1}.${last}`;
    }
}

function hostAndPort(url: string): { host: string; port: number; } {
    const { hostname, port } = new URL(url);
    return { host: hostname, port: Number(port) };
}
