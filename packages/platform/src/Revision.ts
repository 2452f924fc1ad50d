/** Version of an object or of the store. It increases with every write in the store; 0 means "absent". */
export type Revision = number;
