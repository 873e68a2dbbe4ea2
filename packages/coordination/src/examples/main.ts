/** Runs the example of the README and prints its results. */
import * as embed from './embed.js';

const FIRST_PORT = 29_400;

console.log(JSON.stringify(await embed.runExample(FIRST_PORT)));
process.exit(0);
