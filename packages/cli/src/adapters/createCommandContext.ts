import { readTlsMaterial, type TlsFiles, type TlsMaterial } from "@fescuehaven/daemon";
import { CallLimiter, HttpObjectStore, PlatformHttp } from "@fescuehaven/platform";
import { loadSettings, type SchemaError, SystemClock, SystemRandom } from "@fescuehaven/runtime";
import { userInfo } from "node:os";
import { cliConfigurationSchema } from "../CliConfiguration.js";
import type { CommandContext } from "../CommandContext.js";
import type { ContextOutcome } from "../ContextOutcome.js";
import type { GlobalArguments } from "../GlobalArguments.js";
import { ConnectProcessReader } from "./ConnectProcessReader.js";
import { ConsoleOutput } from "./ConsoleOutput.js";

const CALLS_PER_SECOND = 50;

/** Creates the context of a command from the configuration file. */
export async function createCommandContext(options: GlobalArguments): Promise<ContextOutcome> {
    const outcome = await loadSettings(options.config, cliConfigurationSchema);
    if (outcome.kind === "invalid") {
        return outcome;
    }
    const { platform, processes, tls } = outcome.settings;
    const tlsOutcome = tls && await readTls(tls);
    if (tlsOutcome?.kind === "invalid") {
        return tlsOutcome;
    }
    const clock = SystemClock.create();
    const http = PlatformHttp.create({ ...platform, clock });
    const limiter = CallLimiter.create({ clock, callsPerSecond: CALLS_PER_SECOND, maxWaitMs: platform.timeoutMs });
    const context: CommandContext = {
        store: HttpObjectStore.create({ http, limiter }),
        processes,
        reader: ConnectProcessReader.create({ timeoutMs: platform.timeoutMs, tls: tlsOutcome?.material }),
        output: ConsoleOutput.create(),
        clock,
        random: SystemRandom.create(),
        user: options.user ?? userInfo().username,
        format: options.output,
    };
    return { kind: "created", context, close: () => http.close() };
}

type TlsOutcome =
    | { kind: "read"; material: TlsMaterial; }
    | { kind: "invalid"; errors: SchemaError[]; };

async function readTls(files: TlsFiles): Promise<TlsOutcome> {
    try {
        return { kind: "read", material: await readTlsMaterial(files) };
    }
    catch (error) {
        return { kind: "invalid", errors: [{ path: "tls", expected: `readable files: ${(error as Error).message}` }] };
    }
}
