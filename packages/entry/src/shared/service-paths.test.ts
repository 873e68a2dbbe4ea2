import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as servicePaths from './service-paths.js';

const test = suite('service-paths');

test('the service gets the path and query as the caller wrote them', () => {
  assert.equal(servicePaths.parseServiceUrl('/services/proofs/a%20b/c?x=1?y').unwrap(), {
    name: 'proofs',
    path: '/a%20b/c?x=1?y',
    plainPath: '/a b/c',
  });
  assert.is(servicePaths.parseServiceUrl('/services/proofs').unwrap().path, '/');
  assert.is(servicePaths.parseServiceUrl('/services/proofs/').unwrap().path, '/');
});

test('an encoded route is compared decoded', () => {
  const parsed = servicePaths.parseServiceUrl('/services/proofs/%73ubmissions').unwrap();
  assert.is(parsed.plainPath, '/submissions');
});

test('a path that could be read in two ways is refused', () => {
  const urls = ['..', './submissions', '/submissions', '%2e%2e/admin', 'a%2fb', 'a%5Cb', '%zz'];
  urls.forEach((rest) => {
    assert.is(servicePaths.parseServiceUrl(`/services/proofs/${rest}`).err, true, rest);
  });
});

test.run();
