// Package request carries synchronous requests from callers through an entry
// and an agent to a target.
//
// At the entry, Router admits a request, picks a target, sends the request to
// the agent on the target's host, retries or hedges it, and resolves unknown
// outcomes. At the agent, Executor makes the binding admission decision: it
// assigns the request a concurrency slot of a target, queues it for a short
// time, or refuses it before any part of it has reached the target.
//
// A request is reported as not run only when it was never sent, or when an
// agent answered that it has not begun and never will
// (daisywallpb.OUTCOME_NOT_RUN). A non-idempotent request is sent to another
// target only in these two cases. When an answer does not arrive, the router
// calls Settle on the agent. Settle returns the outcome if there is one, and
// otherwise fences the request ID, so that the request can never begin
// afterwards.
//
// An idempotency key limits a non-idempotent request to one execution across
// entries. A row of the table, the Claim, names the agent and the request ID of
// the only attempt that may run. ClaimSweeper removes old claims.
//
// Callers own the goroutines of Router.Run, Executor.Run and ClaimSweeper.Run.
// Each connection with calls in flight has one monitor goroutine, which ends
// soon after the last call. The exported types have their own locks and are
// safe for concurrent use, except that ClaimSweeper.Run must be called only
// once.
package request
