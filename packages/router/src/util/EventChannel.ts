import type { Clock } from "@fescuehaven/runtime";

type ChannelNext<T> = { kind: "item"; item: T; } | { kind: "closed"; } | { kind: "idle"; };

/** Passes items from one task to another, one at a time: a push resolves once the reader has taken the item. */
export class EventChannel<T> {
    private readonly items: T[] = [];
    private isClosed = false;
    private wakeReader: (() => void) | undefined;
    private wakeWriter: (() => void) | undefined;

    private constructor() {}

    /** Creates an empty channel. */
    static create<T>(): EventChannel<T> {
        return new EventChannel<T>();
    }

    /** Adds an item; resolves when the reader has taken it, or when `signal` aborts. */
    async push(item: T, signal: AbortSignal): Promise<void> {
        this.items.push(item);
        this.wakeReader?.();
        if (signal.aborted) {
            return;
        }
        await new Promise<void>(resolve => {
            const finish = () => {
                signal.removeEventListener("abort", finish);
                this.wakeWriter = undefined;
                resolve();
            };
            this.wakeWriter = finish;
            signal.addEventListener("abort", finish, { once: true });
        });
    }

    /** Marks that no item follows. */
    close(): void {
        this.isClosed = true;
        this.wakeReader?.();
    }

    /** Returns the next item, or `idle` when none arrives within `idleMs`. */
    async next(idleMs: number, clock: Clock): Promise<ChannelNext<T>> {
        if (this.items.length === 0 && !this.isClosed) {
            const woken = new AbortController();
            this.wakeReader = () => woken.abort();
            await clock.sleep(idleMs, woken.signal);
            this.wakeReader = undefined;
        }
        const item = this.items.shift();
        if (item !== undefined) {
            this.wakeWriter?.();
            return { kind: "item", item };
        }
        return { kind: this.isClosed ? "closed" : "idle" };
    }
}
