/** Version of an object: grows with every write in the whole store; 0 stands for "absent". */
export type Revision = number;
