// Package request carries requests between callers and targets. At the entry,
// Router admits, chooses a target, sends, retries and settles unknown
// outcomes. At the agent, Executor has the final word: it admits a request
// into a slot or a short queue of its target, or refuses it before anything
// has reached the target.
//
// Outcomes: a request is reported as not run only when an agent answered that
// it has not begun and never will (daisywallpb.OUTCOME_NOT_RUN), or when it was
// never sent. A non-idempotent request is sent elsewhere only after such an
// answer. When an answer does not arrive, Settle asks the agent and fences the
// request: one that has not begun can never begin afterwards.
package request
