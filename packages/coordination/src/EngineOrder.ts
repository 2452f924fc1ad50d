/** An order to an engine. Engines that obey fencing refuse one whose `fence` is below the highest they have seen. */
export type EngineOrder =
    | {
        kind: "load";
        fence: number;
        group: string;
        modelVersion: string;
        /** Size of the weights to load, GiB. */
        weightsGiB: number;
        rank: number;
        /** Base URLs of all members' engines by rank. */
        memberUrls: readonly string[];
    }
    | { kind: "unload"; fence: number; };
