/** Crashes of upstreams and the parts of prompts under which they occurred, as gateways report them to each other. */
export type CrashEvidence = Readonly<Record<string, unknown>>;
