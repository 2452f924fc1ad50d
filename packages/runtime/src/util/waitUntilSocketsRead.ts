import { setImmediate } from "node:timers/promises";

/** Waits until the event loop has read every socket on which bytes have arrived before the call. */
export async function waitUntilSocketsRead(): Promise<void> {
    // Sockets are polled at the latest before the second check phase from now.
    await setImmediate();
    await setImmediate();
}
