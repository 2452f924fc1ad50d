import { connect, createServer } from "node:net";

/** A TCP proxy on loopback. While it is cut, it drops all data and closes nothing, as a partition does. */
export class Proxy {
    isCut = false;
    sockets = new Set();

    async listen(target) {
        const [host, port] = target.split(":");
        this.server = createServer({ allowHalfOpen: true }, source => {
            const onward = connect({ host, port: Number(port), allowHalfOpen: true });
            this.join(source, onward);
            this.join(onward, source);
        });
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
    }

    join(from, to) {
        this.sockets.add(from);
        from.setNoDelay(true);
        const unlessCut = act => argument => this.isCut || act(argument);
        from.on("data", unlessCut(bytes => to.write(bytes)));
        from.on("end", unlessCut(() => to.end()));
        from.on("error", unlessCut(() => to.destroy()));
        from.on("close", () => {
            this.sockets.delete(from);
            unlessCut(() => to.destroy())();
        });
    }

    close() {
        this.isCut = true;
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }
}
