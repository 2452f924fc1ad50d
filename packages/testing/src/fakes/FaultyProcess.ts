import type { ConfigurationView, EngineControl } from "@fescuehaven/coordination";
import type { ObjectStore } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";

const UNAVAILABLE = { kind: "unavailable", retryAfterMs: 100 } as const;

/** A process's dependencies outside itself; `FaultyProcess` wraps them. */
interface ExternalDependencies {
    clock: Clock;
    store: ObjectStore;
    engines: EngineControl;
    configuration: ConfigurationView;
}

/**
 * Wraps the fakes for one process, so that a test can pause, resume and kill this process alone. Calls that a paused
 * process has sent take effect, but it receives no results until it resumes; a killed process never receives any.
 */
export class FaultyProcess {
    /** Number of calls to the platform and to engines so far. */
    callCount = 0;

    /** Whether the platform is unreachable for this process. */
    isPlatformUnreachable = false;

    private paused = false;
    private killed = false;
    private killAtCall = Infinity;
    private killedCallTakesEffect = false;
    private waiters: Array<() => void> = [];

    private constructor(private readonly dependencies: ExternalDependencies) {}

    /** Creates a wrapper without faults. */
    static create(dependencies: ExternalDependencies): FaultyProcess {
        return new FaultyProcess(dependencies);
    }

    /** Holds results and sleeps back from the process until `resume` is called. */
    pause(): void {
        this.paused = true;
    }

    /** Ends a pause. */
    resume(): void {
        this.paused = false;
        const woken = this.waiters;
        this.waiters = [];
        woken.forEach(wake => wake());
    }

    /** Stops the process: no result or sleep ever resolves again. */
    kill(): void {
        this.killed = true;
    }

    /** Kills the process at its `call`-th call, counted from 1; `takesEffect` sets whether that call reaches its target. */
    killAt(call: number, takesEffect: boolean): void {
        this.killAtCall = call;
        this.killedCallTakesEffect = takesEffect;
    }

    /** The clock as the process sees it. */
    get clock(): Clock {
        const { clock } = this.dependencies;
        return {
            now: () => clock.now(),
            monotonicMs: () => clock.monotonicMs(),
            sleep: (durationMs, signal) => this.holdWhilePaused(clock.sleep(durationMs, signal)),
        };
    }

    /** The configuration as the process sees it. */
    get configuration(): ConfigurationView {
        const { configuration } = this.dependencies;
        return {
            get version() {
                return configuration.version;
            },
            get complete() {
                return configuration.complete;
            },
            get: (kind, name) => configuration.get(kind, name),
            list: kind => configuration.list(kind),
            changed: (seen, signal) => this.holdWhilePaused(configuration.changed(seen, signal)),
        };
    }

    /** The object store as the process reaches it. */
    get store(): ObjectStore {
        const { store } = this.dependencies;
        const callStore = <T>(send: () => Promise<T>) =>
            this.call<T | typeof UNAVAILABLE>(async () => this.isPlatformUnreachable ? UNAVAILABLE : send());
        return {
            read: (key, callClass) => callStore(() => store.read(key, callClass)),
            list: (kinds, callClass) => callStore(() => store.list(kinds, callClass)),
            write: (key, value, expected, callClass) => callStore(() => store.write(key, value, expected, callClass)),
            remove: (key, expected, callClass) => callStore(() => store.remove(key, expected, callClass)),
            watch: (kinds, after, waitMs, signal) => callStore(() => store.watch(kinds, after, waitMs, signal)),
        };
    }

    /** The engines as the process reaches them. */
    get engines(): EngineControl {
        const { engines } = this.dependencies;
        return {
            report: (url, timeoutMs) => this.call(() => engines.report(url, timeoutMs)),
            order: (url, order, timeoutMs) => this.call(() => engines.order(url, order, timeoutMs)),
        };
    }

    private async call<T>(send: () => Promise<T>): Promise<T> {
        await this.holdWhilePaused(Promise.resolve());
        this.callCount += 1;
        if (this.callCount < this.killAtCall) {
            return this.holdWhilePaused(send());
        }
        this.killed = true;
        if (this.killedCallTakesEffect) {
            await send();
        }
        return new Promise(() => {});
    }

    private async holdWhilePaused<T>(result: Promise<T>): Promise<T> {
        const value = await result;
        while (this.paused) {
            await new Promise<void>(resolve => this.waiters.push(resolve));
        }
        return this.killed ? new Promise(() => {}) : value;
    }
}
