import { execFile } from "node:child_process";
import { writeFile } from "node:fs/promises";
import path from "node:path";
import { promisify } from "node:util";
import type { SystemTopology } from "../topology/SystemTopology.js";

const run = promisify(execFile);

/** Timeout of one command. */
const COMMAND_TIMEOUT_MS = 20_000;

/** Largest output of one command, in bytes. */
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;

/** Runs commands of the built `fescue` binary against a system. */
export class CommandLine {
    private constructor(private readonly binary: string, readonly configuration: string) {}

    /** Creates the command line and writes the configuration file of `fescue` into `folder`. */
    static async create(options: {
        /** Folder of the built binaries. */
        binaries: string;
        folder: string;
        topology: SystemTopology;
    }): Promise<CommandLine> {
        const { binaries, folder, topology } = options;
        const processes = topology.entryVms.flatMap(vm => [
            { name: vm.router.name, zone: vm.zone, role: "router", url: vm.router.peerUrl },
            { name: vm.controller.name, zone: vm.zone, role: "controller", url: vm.controller.peerUrl },
        ]);
        const configuration = path.join(folder, "fescue.json");
        const content = { platform: { url: topology.platformUrl }, processes };
        await writeFile(configuration, JSON.stringify(content, undefined, 4));
        return new CommandLine(path.join(binaries, "fescue.js"), configuration);
    }

    /** Runs a command and returns its standard output; throws if its exit code is not 0. */
    async fescue(...commandArgs: string[]): Promise<string> {
        const args = [this.binary, ...commandArgs, "--config", this.configuration];
        const { stdout } = await run(process.execPath, args, {
            timeout: COMMAND_TIMEOUT_MS,
            maxBuffer: MAX_OUTPUT_BYTES,
        });
        return stdout;
    }
}
