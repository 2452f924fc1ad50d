import { spreadCost } from "../experiments/spreadCost.js";

const { digests, probing, wire } = await spreadCost();
console.table(wire);
console.table(probing);
console.table(digests);
