// Why a list: a test that fails for a real fault stays in the run and in sight until the fault is mended.

/** One line each: `test name | cause | issue`. A name that stands twice is told apart by its groups: `group > name`. */
export const knownRedOf = (text) => {
  const lines = text
    .split('\n')
    .map((line, place) => ({ line: line.trim(), number: place + 1 }))
    .filter(({ line }) => line !== '');
  const read = lines.map(({ line, number }) => {
    // Why from the end: a test's name may hold the sign that parts the fields.
    const [issue, cause, ...name] = line.split(/\s\|(?:\s|$)/).reverse();
    return { number, line, name: name.reverse().join(' | ').trim(), cause: (cause ?? '').trim(), issue: issue.trim() };
  });
  return {
    entries: read.filter(({ name, cause, issue }) => name !== '' && cause !== '' && issue !== ''),
    faults: read
      .filter(({ name, cause, issue }) => name === '' || cause === '' || issue === '')
      .map(({ number, line }) => `line ${number} is not "test name | cause | issue": ${line}`),
  };
};

const isMeantBy = ({ name }, { path }) => path.at(-1) === name || path.join(' > ') === name;

/**
 * What a run comes to. `results` holds each test that ended, without the groups around it: its path of names, and
 * whether it passed, failed or was skipped.
 */
export const judged = ({ entries, faults }, results) => {
  const failed = results.filter(({ outcome }) => outcome === 'failed');
  const found = entries.map((entry) => ({ entry, meant: results.filter((result) => isMeantBy(entry, result)) }));
  const passedOver = found.filter(({ meant }) => meant.length === 1 && meant[0].outcome === 'failed');
  const all = [
    ...faults,
    ...found.flatMap(({ entry, meant }) => {
      const at = `line ${entry.number} names`;
      if (meant.length === 0) return [`${at} no test: ${entry.name}`];
      if (meant.length > 1) return [`${at} ${meant.length} tests, write the groups before it: ${entry.name}`];
      if (meant[0].outcome === 'failed') return [];
      return meant[0].outcome === 'passed'
        ? [`${at} a test that passes again, take the line out: ${entry.name}`]
        : [`${at} a test that was not run: ${entry.name}`];
    }),
  ];
  const known = new Set(passedOver.map(({ meant }) => meant[0]));
  return {
    passed: results.filter(({ outcome }) => outcome === 'passed').length,
    skipped: results.filter(({ outcome }) => outcome === 'skipped').length,
    red: failed.filter((result) => !known.has(result)),
    passedOver: passedOver.map(({ entry }) => entry),
    faults: all,
  };
};
