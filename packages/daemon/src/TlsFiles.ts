/** Paths of a process's TLS files. */
export interface TlsFiles {
    /** PEM file of the certificate, followed by any intermediate certificates. */
    certificateFile: string;
    /** PEM file of the private key. */
    keyFile: string;
    /** PEM file of the trusted authorities; left out: clients need no certificate. */
    authorityFile?: string;
}
