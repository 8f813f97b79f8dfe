/** Collects answers until they suffice or all have arrived, so that a member that does not answer cannot delay a takeover. */
export const collectUntil = <Result>(
  requests: readonly Promise<Result>[],
  isEnough: (answers: readonly Result[]) => boolean,
): Promise<readonly Result[]> =>
  new Promise((resolve) => {
    const answers: Result[] = [];
    if (requests.length === 0) resolve(answers);
    for (const request of requests)
      void request.then((answer) => {
        answers.push(answer);
        if (answers.length === requests.length || isEnough(answers)) resolve([...answers]);
      });
  });
