/** A process's certificate, key and trusted authorities, as PEM text. */
export interface TlsMaterial {
    cert: string;
    key: string;
    ca?: string;
}
