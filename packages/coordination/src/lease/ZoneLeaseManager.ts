import type { ObjectStore, Revision, StoredObject } from "@fescuehaven/platform";
import { type ZoneLease, zoneLeaseSchema } from "@fescuehaven/resources";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder, Logger } from "@fescuehaven/telemetry";
import { PauseDetector } from "../PauseDetector.js";
import type { LeaseTimings } from "./LeaseTimings.js";

/** Number of own update nonces that a manager keeps, so that it recognises an update that takes effect late. */
const MAX_OWN_NONCES = 16;

interface ZoneLeaseManagerOptions {
    store: ObjectStore;
    clock: Clock;
    random: Random;
    recorder: EventRecorder;
    logger: Logger;
    /** Availability zone; also the name of the lease object. */
    zone: string;
    /** Name of this process. */
    process: string;
    timings: LeaseTimings;
}

/**
 * Competes for the lease of an availability zone, so that one controller at a time is active. The lease prevents
 * controllers from working against each other. Safety does not depend on it, because a holder may be paused between
 * any check and its next step.
 */
export class ZoneLeaseManager {
    private fence = 0;
    private revision: Revision = 0;
    private holds = false;
    private validUntilMs = -Infinity;
    private readonly pauseDetector: PauseDetector;
    private lastResponseMs: number;
    private resumedAtMs = -Infinity;
    private observedRevision: { revision: Revision; sinceMs: number; } | undefined;
    private ownNonces: string[] = [];

    private constructor(private readonly options: ZoneLeaseManagerOptions) {
        const { clock, timings } = options;
        this.pauseDetector = PauseDetector.create({
            clock,
            thresholdMs: timings.pauseCheckEveryMs + timings.pauseToleranceMs,
        });
        this.lastResponseMs = clock.monotonicMs();
    }

    /** Creates a manager that does not hold the lease. */
    static create(options: ZoneLeaseManagerOptions): ZoneLeaseManager {
        return new ZoneLeaseManager(options);
    }

    /**
     * Returns the fencing token while the lease is certain to be held for at least the safety margin, otherwise
     * undefined.
     */
    held(): number | undefined {
        this.checkForPause();
        const valid = this.holds && this.options.clock.monotonicMs() < this.validUntilMs;
        return valid ? this.fence : undefined;
    }

    /** Returns the time since the platform last responded. */
    platformSilentMs(): number {
        return this.options.clock.monotonicMs() - this.lastResponseMs;
    }

    /**
     * Returns the monotonic time at which this process last resumed after a pause; -Infinity if it never did. What it
     * observed before may be long out of date.
     */
    runningSinceMs(): number {
        this.checkForPause();
        return this.resumedAtMs;
    }

    /** Competes for the lease and renews it until `signal` aborts, then releases it. */
    async run(signal: AbortSignal): Promise<void> {
        const pauseChecks = this.runPauseChecks(signal);
        while (!signal.aborted) {
            await this.renewOrContend();
            await this.options.clock.sleep(this.nextDelayMs(), signal);
        }
        await pauseChecks;
        await this.release();
    }

    /** Renews the lease if held, otherwise takes it over if possible. One iteration of `run`. */
    async renewOrContend(): Promise<void> {
        if (this.holds) {
            await this.write({ holder: this.options.process, fence: this.fence });
            return;
        }
        const outcome = await this.options.store.read(this.key(), "claim");
        switch (outcome.kind) {
            case "unavailable":
                this.observedRevision = undefined;
                return;
            case "absent":
                this.lastResponseMs = this.options.clock.monotonicMs();
                this.revision = 0;
                return this.write({ holder: this.options.process, fence: 1 });
            case "found":
                this.lastResponseMs = this.options.clock.monotonicMs();
                return this.contend(outcome.object);
        }
    }

    private nextDelayMs(): number {
        const { renewEveryMs, contendEveryMs } = this.options.timings;
        return this.holds ? renewEveryMs : contendEveryMs * (0.75 + this.options.random.next() / 2);
    }

    private async contend(object: StoredObject): Promise<void> {
        const parsed = zoneLeaseSchema.safeParse(object.value);
        if (!parsed.success) {
            this.options.logger.error("The stored zone lease is invalid; remove the object.");
            return;
        }
        const lease = parsed.data;
        this.revision = object.revision;
        if (lease.holder !== "" && this.ownNonces.includes(lease.nonce)) {
            this.confirm(lease.fence, object.revision, -Infinity);
            return;
        }
        if (lease.holder === "" || this.isExpired(object.revision, lease)) {
            await this.write({ holder: this.options.process, fence: lease.fence + 1 });
        }
    }

    /** Returns true once this process itself has seen the lease unchanged for its whole duration plus the margin. */
    private isExpired(revision: Revision, lease: ZoneLease): boolean {
        const nowMs = this.options.clock.monotonicMs();
        if (this.observedRevision?.revision !== revision) {
            this.observedRevision = { revision, sinceMs: nowMs };
        }
        return nowMs - this.observedRevision.sinceMs >= lease.durationMs + this.options.timings.takeoverMarginMs;
    }

    private async write(content: { holder: string; fence: number; }): Promise<void> {
        const startedMs = this.options.clock.monotonicMs();
        const nonce = this.options.random.uniqueId();
        this.ownNonces = [...this.ownNonces.slice(1 - MAX_OWN_NONCES), nonce];
        const value = { ...content, durationMs: this.options.timings.durationMs, nonce };
        const outcome = await this.options.store.write(this.key(), value, this.revision, "claim");
        switch (outcome.kind) {
            case "committed":
                this.lastResponseMs = this.options.clock.monotonicMs();
                return this.confirm(content.fence, outcome.revision, startedMs);
            case "conflict":
                this.lastResponseMs = this.options.clock.monotonicMs();
                return this.readBack(startedMs);
            case "unknown":
                return this.readBack(startedMs);
            case "unavailable":
                return;
            case "invalid":
                this.options.logger.error(`The platform refused the update of the zone lease: ${outcome.reason}.`);
                return;
        }
    }

    /** Resolves an update that may not have taken effect, using the nonce that the platform now holds. */
    private async readBack(startedMs: number): Promise<void> {
        const outcome = await this.options.store.read(this.key(), "claim");
        if (outcome.kind === "unavailable") {
            return;
        }
        this.lastResponseMs = this.options.clock.monotonicMs();
        const lease = outcome.kind === "found" ? zoneLeaseSchema.safeParse(outcome.object.value).data : undefined;
        if (outcome.kind === "found" && lease && this.ownNonces.includes(lease.nonce) && lease.holder !== "") {
            const isNewest = lease.nonce === this.ownNonces.at(-1);
            this.confirm(lease.fence, outcome.object.revision, isNewest ? startedMs : -Infinity);
            return;
        }
        const revision = outcome.kind === "found" ? outcome.object.revision : 0;
        if (revision !== this.revision) {
            this.recordLoss("taken-over");
        }
    }

    private confirm(fence: number, revision: Revision, startedMs: number): void {
        if (!this.holds) {
            this.options.recorder.record({ kind: "lease-acquired", zone: this.options.zone, epoch: fence });
            this.options.logger.info(`Acquired the zone lease with fencing token ${fence}.`);
        }
        this.holds = true;
        this.fence = fence;
        this.revision = revision;
        const { durationMs, safetyMarginMs } = this.options.timings;
        this.validUntilMs = Math.max(this.validUntilMs, startedMs + durationMs - safetyMarginMs);
    }

    private recordLoss(reason: string): void {
        if (this.holds) {
            this.options.recorder.record({ kind: "lease-lost", zone: this.options.zone, epoch: this.fence, reason });
            this.options.logger.warn(`Lost the zone lease with fencing token ${this.fence}: ${reason}.`);
        }
        this.holds = false;
        this.validUntilMs = -Infinity;
        this.observedRevision = undefined;
    }

    private async release(): Promise<void> {
        if (this.holds) {
            const value = {
                holder: "",
                fence: this.fence,
                durationMs: this.options.timings.durationMs,
                nonce: this.options.random.uniqueId(),
            };
            this.recordLoss("released");
            await this.options.store.write(this.key(), value, this.revision, "claim");
        }
    }

    private async runPauseChecks(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(this.options.timings.pauseCheckEveryMs, signal);
            this.checkForPause();
            this.pauseDetector.tick();
        }
    }

    /** After a pause of the process, treats the lease as expired until the platform confirms it again. */
    private checkForPause(): void {
        const pausedMs = this.pauseDetector.pausedMs();
        if (pausedMs === 0) {
            return;
        }
        this.pauseDetector.tick();
        this.resumedAtMs = this.options.clock.monotonicMs();
        this.validUntilMs = -Infinity;
        this.observedRevision = undefined;
        this.options.recorder.record({ kind: "process-paused", durationMs: pausedMs });
        this.options.logger.warn(`The process was paused for ${Math.round(pausedMs)} ms.`);
    }

    private key(): { kind: string; name: string; } {
        return { kind: "zone-lease", name: this.options.zone };
    }
}
