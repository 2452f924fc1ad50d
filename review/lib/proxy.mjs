import { connect, createServer } from "node:net";

/**
 * A TCP proxy on loopback. What is cut drops all data and closes nothing: everything while `isCut` is true, as in a
 * partition, or single connections for good.
 */
export class Proxy {
    isCut = false;
    /** Open connections, with the number of times that data has arrived from the target. */
    connections = new Set();

    async listen(target) {
        const [host, port] = target.split(":");
        this.server = createServer({ allowHalfOpen: true }, source => {
            const onward = connect({ host, port: Number(port), allowHalfOpen: true });
            const connection = { source, onward, isSilent: false, answers: 0 };
            this.connections.add(connection);
            this.join(connection, source, onward, () => undefined);
            this.join(connection, onward, source, () => connection.answers += 1);
        });
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    join(connection, from, to, onData) {
        from.setNoDelay(true);
        const unlessCut = act => argument => this.isCut || connection.isSilent || act(argument);
        from.on(
            "data",
            unlessCut(bytes => {
                onData();
                to.write(bytes);
            }),
        );
        from.on("end", unlessCut(() => to.end()));
        from.on("error", unlessCut(() => to.destroy()));
        from.on("close", () => {
            if (connection.source.destroyed && connection.onward.destroyed) {
                this.connections.delete(connection);
            }
            unlessCut(() => to.destroy())();
        });
    }

    /** Makes the open connections silent for good that `isChosen` selects; returns their number. New ones work. */
    silence(isChosen) {
        const chosen = [...this.connections].filter(connection => !connection.isSilent && isChosen(connection));
        chosen.forEach(connection => connection.isSilent = true);
        return chosen.length;
    }

    close() {
        this.isCut = true;
        this.connections.forEach(({ source, onward }) => {
            source.destroy();
            onward.destroy();
        });
        this.server.close();
    }
}
