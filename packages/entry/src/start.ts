/** Starts an entry. Its signals are kept before its modules are evaluated: one that comes meanwhile would end the process. */
import * as heldSignals from '@copperlever/runtime/held-signals';

heldSignals.ofThisProcess();
await import('./main.js');
