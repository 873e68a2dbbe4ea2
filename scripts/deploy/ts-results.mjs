// The build of ts-results that a bundler can follow, with the default export that Node makes of its other one.
import * as results from '../../node_modules/ts-results/esm/index.js';

export default results;
