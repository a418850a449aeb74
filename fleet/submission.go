package fleet

import (
	"context"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// retryAfterKey is the trailer of a refused submission with the time in
// milliseconds after which the caller should come back.
const retryAfterKey = "daisywall-retry-after-ms"

// describeRefusal adds the trailers of a refused submission to the answer of the
// call. retryAfter is 0 if the pool is not the reason.
func describeRefusal(ctx context.Context, token string, retryAfter time.Duration) error {
	trailer := metadata.Pairs(submissionKey, token)
	if retryAfter > 0 {
		trailer.Set(retryAfterKey, strconv.FormatInt(max(1, retryAfter.Milliseconds()), 10))
	}
	return grpc.SetTrailer(ctx, trailer)
}

// retryAfterOf returns the time in the trailer of an answer, 0 if it has none.
func retryAfterOf(trailer metadata.MD) time.Duration {
	for _, value := range trailer.Get(retryAfterKey) {
		if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms > 0 {
			return time.Duration(min(ms, maxRetryAfter.Milliseconds())) * time.Millisecond
		}
	}
	return 0
}

// maxRetryAfter limits what an entry takes from a leader.
const maxRetryAfter = 10 * time.Minute

// submissionKey is the metadata of a submission that names it, the same for all of
// its attempts, and the trailer of its refusal, with the same value.
const submissionKey = "daisywall-submission"

// submissionToken returns the token of the submission, empty if it has none.
func submissionToken(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	if values := md.Get(submissionKey); len(values) == 1 {
		return values[0]
	}
	return ""
}

// maxRefusedSubmissions is the number of refused submissions that a node keeps:
// those of 80 s at 100 refusals a second. An entry closes the connection of an
// attempt without an answer after 1.8 s.
const maxRefusedSubmissions = 8192

// refusedSubmissions holds the tokens of the last submissions that a node has
// refused. An attempt without an answer may arrive after the refusal of a later
// attempt, and must not store the job then.
type refusedSubmissions struct {
	mu     sync.Mutex
	tokens map[string]struct{}
	order  []string // oldest first
}

func (r *refusedSubmissions) add(token string) {
	if token == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens == nil {
		r.tokens = map[string]struct{}{}
	}
	if _, found := r.tokens[token]; found {
		return
	}
	r.tokens[token] = struct{}{}
	r.order = append(r.order, token)
	if len(r.order) > maxRefusedSubmissions {
		delete(r.tokens, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *refusedSubmissions) contains(token string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, found := r.tokens[token]
	return found
}
