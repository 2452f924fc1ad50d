/** A VM that can be claimed. */
export interface FreeVm {
    name: string;
    fabricDomain: string;
}
