/** Paths of a process's TLS files. */
export interface TlsFiles {
    /** PEM file of the certificate, with intermediate ones. */
    certificateFile: string;
    /** PEM file of the private key. */
    keyFile: string;
    /** PEM file of the trusted authorities; left out: none is asked for a certificate. */
    authorityFile?: string;
}
