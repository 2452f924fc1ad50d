import { TlsIdentity } from "../adapters/TlsIdentity.js";
import { DaemonError } from "../DaemonError.js";
import type { TlsFiles } from "../TlsFiles.js";
import type { DaemonContext } from "./DaemonContext.js";

/** Loads the identity; returns undefined without files. Throws a `DaemonError` if the files cannot be used. */
export async function loadIdentity(
    context: DaemonContext,
    files: TlsFiles | undefined,
): Promise<TlsIdentity | undefined> {
    if (!files) {
        return undefined;
    }
    const outcome = await TlsIdentity.create({ files, clock: context.clock, logger: context.logger("tls") });
    if (outcome.kind === "unusable") {
        throw new DaemonError(`TLS files cannot be used: ${outcome.reason}`);
    }
    return outcome.identity;
}
