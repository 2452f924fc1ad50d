/** Another process of the system. */
export interface Peer {
    /** Process name; unique in the system. */
    name: string;
    zone: string;
    role: "router" | "controller";
    /** Base URL of its peer interface (connect-es over HTTP/2). */
    url: string;
}
