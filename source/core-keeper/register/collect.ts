/** Answers until they are enough, or all have come. Why not all: one that is silent must not hold up a takeover. */
export const collectUntil = <Result>(
  asks: readonly Promise<Result>[],
  isEnough: (answers: readonly Result[]) => boolean,
): Promise<readonly Result[]> =>
  new Promise((resolve) => {
    const answers: Result[] = [];
    if (asks.length === 0) resolve(answers);
    for (const ask of asks)
      void ask.then((answer) => {
        answers.push(answer);
        if (answers.length === asks.length || isEnough(answers)) resolve([...answers]);
      });
  });
