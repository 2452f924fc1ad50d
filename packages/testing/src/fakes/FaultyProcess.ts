import type { ConfigurationView, EngineControl } from "@fescuehaven/coordination";
import type { ObjectStore } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";

const UNAVAILABLE = { kind: "unavailable", retryAfterMs: 100 } as const;

/** What a process sees of the outside, which `FaultyProcess` can take away. */
interface Outside {
    clock: Clock;
    store: ObjectStore;
    engines: EngineControl;
    configuration: ConfigurationView;
}

/**
 * Stands between one process and the fakes, so that a test can pause, resume and kill that process alone. A paused
 * process has sent what it had sent and learns of nothing until it resumes; a killed one learns of nothing ever.
 */
export class FaultyProcess {
    /** Calls to the platform and to engines so far. */
    callCount = 0;

    /** Whether this process alone is cut off from the platform. */
    platformCut = false;

    private paused = false;
    private killed = false;
    private killAtCall = Infinity;
    private killedCallTakesEffect = false;
    private waiters: Array<() => void> = [];

    private constructor(private readonly outside: Outside) {}

    /** Creates a process without faults. */
    static create(outside: Outside): FaultyProcess {
        return new FaultyProcess(outside);
    }

    /** Stops the process until `resume`. */
    pause(): void {
        this.paused = true;
    }

    /** Lets the process run on. */
    resume(): void {
        this.paused = false;
        const woken = this.waiters;
        this.waiters = [];
        woken.forEach(wake => wake());
    }

    /** Stops the process for good. */
    kill(): void {
        this.killed = true;
    }

    /** Kills the process at its `call`-th call; `takesEffect` says whether that call still reaches its target. */
    killAt(call: number, takesEffect: boolean): void {
        this.killAtCall = call;
        this.killedCallTakesEffect = takesEffect;
    }

    /** The process's clock. */
    get clock(): Clock {
        const { clock } = this.outside;
        return {
            now: () => clock.now(),
            monotonicMs: () => clock.monotonicMs(),
            sleep: (durationMs, signal) => this.gate(clock.sleep(durationMs, signal)),
        };
    }

    /** The process's configuration. */
    get configuration(): ConfigurationView {
        const { configuration } = this.outside;
        return {
            get version() {
                return configuration.version;
            },
            get complete() {
                return configuration.complete;
            },
            get: (kind, name) => configuration.get(kind, name),
            list: kind => configuration.list(kind),
            changed: (seen, signal) => this.gate(configuration.changed(seen, signal)),
        };
    }

    /** The process's way to the platform. */
    get store(): ObjectStore {
        const { store } = this.outside;
        const reach = <T>(send: () => Promise<T>) =>
            this.call<T | typeof UNAVAILABLE>(async () => this.platformCut ? UNAVAILABLE : send());
        return {
            read: (key, callClass) => reach(() => store.read(key, callClass)),
            list: (kinds, callClass) => reach(() => store.list(kinds, callClass)),
            write: (key, value, expected, callClass) => reach(() => store.write(key, value, expected, callClass)),
            remove: (key, expected, callClass) => reach(() => store.remove(key, expected, callClass)),
            watch: (kinds, after, waitMs, signal) => reach(() => store.watch(kinds, after, waitMs, signal)),
        };
    }

    /** The process's way to the engines. */
    get engines(): EngineControl {
        const { engines } = this.outside;
        return {
            report: (url, timeoutMs) => this.call(() => engines.report(url, timeoutMs)),
            order: (url, order, timeoutMs) => this.call(() => engines.order(url, order, timeoutMs)),
        };
    }

    private async call<T>(send: () => Promise<T>): Promise<T> {
        await this.gate(Promise.resolve());
        this.callCount += 1;
        if (this.callCount < this.killAtCall) {
            return this.gate(send());
        }
        this.killed = true;
        if (this.killedCallTakesEffect) {
            await send();
        }
        return new Promise(() => {});
    }

    private async gate<T>(result: Promise<T>): Promise<T> {
        const value = await result;
        while (this.paused) {
            await new Promise<void>(resolve => this.waiters.push(resolve));
        }
        return this.killed ? new Promise(() => {}) : value;
    }
}
