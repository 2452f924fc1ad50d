/** Place of this gateway among all registered gateways, which each of them computes alike. */
export interface GatewayPosition {
    index: number;
    count: number;
}
