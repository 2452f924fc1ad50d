import type { GroupStatus } from "@fescuehaven/resources";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Executions } from "../callers/Executions.js";
import { Launcher } from "../launcher/Launcher.js";
import type { ProcessHandle } from "../launcher/ProcessHandle.js";
import { chooseNetwork } from "../network/chooseNetwork.js";
import type { EntryVm } from "../topology/EntryVm.js";
import { PlatformAdmin } from "../topology/PlatformAdmin.js";
import { SystemObjects } from "../topology/SystemObjects.js";
import { SystemTopology } from "../topology/SystemTopology.js";
import { untilTrue } from "../util/untilTrue.js";
import { EngineAdmin } from "./EngineAdmin.js";
import { ServiceAdmin } from "./ServiceAdmin.js";

/** Default time limit of `untilPhase`. */
const READY_DEADLINE_MS = 60_000;

type TopologyInput = Parameters<typeof SystemTopology.create>[0];
type ObjectsInput = NonNullable<Parameters<typeof SystemObjects.create>[1]>;

interface RunningSystemOptions {
    clock: Clock;
    random: Random;
    /** Folder of the built binaries. */
    binaries: string;
    /** Loopback network; defaults to a free one. */
    network?: { octet: number; basePort: number; };
    /** Topology options except for the network. */
    topology?: Omit<TopologyInput, "octet" | "basePort">;
    objects?: ObjectsInput;
}

/** A complete system of real processes on loopback: stand-ins, routers and controllers, with the objects to serve. */
export class RunningSystem {
    private constructor(
        private readonly clock: Clock,
        readonly launcher: Launcher,
        readonly topology: SystemTopology,
        readonly objects: SystemObjects,
        readonly platform: PlatformAdmin,
    ) {}

    /** Starts all processes, writes the objects, and waits until every process is ready. On failure, stops them all. */
    static async start(options: RunningSystemOptions): Promise<RunningSystem> {
        const { clock, random, binaries } = options;
        const network = options.network ?? await chooseNetwork(random);
        const topology = SystemTopology.create({ ...options.topology, ...network });
        const objects = SystemObjects.create(topology, options.objects);
        const platform = PlatformAdmin.create(topology.platformUrl);
        const launcher = await Launcher.create({ clock, binaries });
        const system = new RunningSystem(clock, launcher, topology, objects, platform);
        try {
            await launcher.start(topology.standins());
            await platform.putAll(objects.all());
            await launcher.start(topology.daemons());
        }
        catch (error) {
            await launcher.stopAll();
            throw error;
        }
        return system;
    }

    /** Stops every process. */
    async stop(): Promise<void> {
        await this.launcher.stopAll();
    }

    /** Returns the base URLs that callers use, of all routers. */
    routerUrls(): string[] {
        return this.topology.entryVms.map(vm => vm.router.url);
    }

    /** Returns the entry VMs of a zone. */
    entryVmsOf(zone: string): EntryVm[] {
        return this.topology.entryVms.filter(vm => vm.zone === zone);
    }

    /** Returns the handle of a process. Throws if no process of that name was started. */
    process(name: string): ProcessHandle {
        return this.launcher.handle(name);
    }

    /** Reads a group's status from the platform. */
    async status(group: string): Promise<GroupStatus | undefined> {
        return (await this.platform.get("group-status", group))?.value;
    }

    /** Waits until the status of every group has the phase; throws after `deadlineMs`. */
    async untilPhase(
        phase: GroupStatus["phase"],
        groups = this.objects.groupNames(),
        deadlineMs = READY_DEADLINE_MS,
    ): Promise<void> {
        await untilTrue(this.clock, `${groups.join(", ")} ${phase}`, deadlineMs, async () => {
            const statuses = await Promise.all(groups.map(group => this.status(group)));
            return statuses.every(status => status?.phase === phase);
        });
    }

    /** Returns a client of a VM's engine. */
    engine(vm: string): EngineAdmin {
        return EngineAdmin.create(this.topology.engineUrl(vm));
    }

    /** Returns clients of the engines of all VMs. */
    engines(): Array<{ vm: string; zone: string; admin: EngineAdmin; }> {
        return this.topology.engineVms.map(({ name, zone }) => ({ vm: name, zone, admin: this.engine(name) }));
    }

    /** Returns a client of a zone's endpoint of the plain service. */
    service(zone: string): ServiceAdmin {
        return ServiceAdmin.create(this.topology.serviceUrl(zone));
    }

    /** Reads the executions of all endpoints of the plain service. */
    async executions(): Promise<Executions[]> {
        return Promise.all(this.topology.options.zones.map(zone => this.service(zone).executions()));
    }

    /** Returns the name of the process that holds a zone's lease, or an empty string if none does. */
    async activeController(zone: string): Promise<string> {
        return (await this.platform.get("zone-lease", zone))?.value.holder ?? "";
    }

    /** Returns the source addresses of a zone's entry VMs, by which the platform identifies them. */
    addressesOf(zone: string): string[] {
        return this.entryVmsOf(zone).map(vm => vm.address);
    }
}
