import { createServer } from "node:net";

/** Returns whether `host:port` can be bound. */
export async function isPortFree(host: string, port: number): Promise<boolean> {
    const server = createServer();
    const isFree = await new Promise<boolean>(resolve => {
        server.once("error", () => resolve(false));
        server.listen({ host, port, exclusive: true }, () => resolve(true));
    });
    if (isFree) {
        await new Promise(resolve => server.close(resolve));
    }
    return isFree;
}
