import type { Clock } from "@fescuehaven/runtime";

type ChannelNext<T> = { kind: "item"; item: T; } | { kind: "closed"; } | { kind: "idle"; };

/** Hands items from one task to another, one at a time: a push resolves once the reader asks for the next item. */
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

    /** Gives an item; resolves when the reader has taken it, or when `signal` aborts. */
    async push(item: T, signal: AbortSignal): Promise<void> {
        this.items.push(item);
        this.wakeReader?.();
        if (signal.aborted) {
            return;
        }
        await new Promise<void>(resolve => {
            const settle = () => {
                signal.removeEventListener("abort", settle);
                this.wakeWriter = undefined;
                resolve();
            };
            this.wakeWriter = settle;
            signal.addEventListener("abort", settle, { once: true });
        });
    }

    /** Says that no item follows. */
    close(): void {
        this.isClosed = true;
        this.wakeReader?.();
    }

    /** The next item, or `idle` when none comes within `idleMs`. */
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
