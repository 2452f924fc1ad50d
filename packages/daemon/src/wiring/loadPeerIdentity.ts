import { TlsIdentity } from "../adapters/TlsIdentity.js";
import { DaemonError } from "../DaemonError.js";
import type { DaemonContext } from "./DaemonContext.js";

/** The identity that the settings name, or undefined without one. Throws when its files cannot be used. */
export async function loadPeerIdentity(context: DaemonContext): Promise<TlsIdentity | undefined> {
    const { peerTls } = context.settings;
    if (!peerTls) {
        return undefined;
    }
    const outcome = await TlsIdentity.create({ files: peerTls, clock: context.clock, logger: context.logger("tls") });
    if (outcome.kind === "unusable") {
        throw new DaemonError(`peerTls: ${outcome.reason}`);
    }
    return outcome.identity;
}
