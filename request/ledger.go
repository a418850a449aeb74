package request

import (
	"container/list"
	"sync"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// state of a request in the ledger.
type state int

const (
	stateQueued state = iota // admitted, has not begun
	stateBegun               // sent to a target
	stateDone                // ended; outcome is final
	stateFenced              // never begun and never will
)

// record is the ledger's memory of one request ID.
type record struct {
	id         string
	idempotent bool
	state      state
	outcome    daisywallpb.Outcome
	reason     structs.Reason
	answer     *daisywallpb.Answer // nil once dropped
	bytes      int                 // size of the answer
	retention  time.Duration
	expires    time.Time     // meaningful once final
	final      chan struct{} // closed at stateDone and stateFenced
	ended      *list.List    // list of its class once final
	element    *list.Element // in ended
	held       *list.Element // in ledger.answers while the answer is held
}

// ledgerLimits bounds the ledger.
type ledgerLimits struct {
	records   int           // requests remembered at once
	bytes     int           // size of all retained answers
	retention time.Duration // default time for which an outcome is kept
}

// ledger remembers request IDs, so that a non-idempotent request begins at
// most once on this agent.
//
// Idempotent requests are remembered only while they are in progress. At the
// bound of records it refuses new requests (queue_full) and fences nothing
// more, so that Settle answers unknown. It never forgets a non-idempotent
// request before the end of its retention. At the bound of bytes it drops the
// oldest answers and keeps their outcome: Settle then reports unknown.
type ledger struct {
	limits ledgerLimits

	mu      sync.Mutex
	records map[string]*record
	// Final records in the order of their end, and so of their expiry.
	plain, kept list.List
	answers     list.List // records with an answer, the oldest first
	bytes       int
}

func newLedger(limits ledgerLimits) *ledger {
	return &ledger{limits: limits, records: map[string]*record{}}
}

// admit adds a request as queued. For an ID that is known it returns the
// existing record and fresh is false. It returns nil at the bound.
func (l *ledger) admit(id string, idempotent bool, retention time.Duration) (rec *record, fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(time.Now())
	if known, found := l.records[id]; found {
		return known, false
	}
	if len(l.records) >= l.limits.records {
		return nil, false
	}
	if retention < l.limits.retention {
		retention = l.limits.retention
	}
	rec = &record{id: id, idempotent: idempotent, retention: retention, final: make(chan struct{})}
	l.records[id] = rec
	return rec, true
}

// begin marks a queued request as begun. It returns false when it was fenced.
func (l *ledger) begin(rec *record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.state != stateQueued {
		return false
	}
	rec.state = stateBegun
	return true
}

// refuse removes a request that has not begun, so that it may be sent again.
// A fence stays.
func (l *ledger) refuse(rec *record, reason structs.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.state != stateQueued {
		return
	}
	delete(l.records, rec.id)
	rec.state, rec.outcome, rec.reason = stateDone, daisywallpb.Outcome_OUTCOME_NOT_RUN, reason
	close(rec.final)
}

// finish stores the outcome of a request that has begun.
func (l *ledger) finish(rec *record, outcome daisywallpb.Outcome, answer *daisywallpb.Answer, reason structs.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.state, rec.outcome, rec.answer, rec.reason = stateDone, outcome, answer, reason
	if rec.idempotent || outcome == daisywallpb.Outcome_OUTCOME_NOT_RUN {
		// The ID may be sent again.
		delete(l.records, rec.id)
		close(rec.final)
		return
	}
	rec.bytes = answerBytes(answer)
	l.end(rec)
	for l.bytes > l.limits.bytes && l.dropOldestAnswer() {
		continue
	}
}

// end makes a record final. The caller holds the lock.
func (l *ledger) end(rec *record) {
	rec.expires = time.Now().Add(rec.retention)
	rec.ended = l.class(rec)
	rec.element = rec.ended.PushBack(rec)
	if rec.answer != nil {
		rec.held = l.answers.PushBack(rec)
		l.bytes += rec.bytes
	}
	close(rec.final)
}

// class returns the list that the final record belongs to.
func (l *ledger) class(rec *record) *list.List {
	if rec.retention > l.limits.retention {
		return &l.kept
	}
	return &l.plain
}

// settlement is what the ledger says about an ID.
type settlement struct {
	outcome daisywallpb.Outcome
	answer  *daisywallpb.Answer
	reason  structs.Reason
}

// settle fences a request that has not begun and returns its record. It
// returns nil when that cannot be said: the ledger is full and could not keep
// the fence, or remembered is false and the request may have been forgotten.
func (l *ledger) settle(id string, remembered bool) *record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(time.Now())
	rec, found := l.records[id]
	if !found {
		if !remembered || len(l.records) >= l.limits.records {
			return nil
		}
		rec = &record{id: id, retention: l.limits.retention, final: make(chan struct{})}
		l.records[id] = rec
	}
	if !found || rec.state == stateQueued {
		rec.state, rec.outcome, rec.reason = stateFenced, daisywallpb.Outcome_OUTCOME_NOT_RUN, structs.ReasonFenced
		l.end(rec)
	}
	return rec
}

// read returns what is known of a record.
func (l *ledger) read(rec *record) settlement {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.state == stateQueued || rec.state == stateBegun {
		return settlement{outcome: daisywallpb.Outcome_OUTCOME_RUNNING}
	}
	if rec.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED && rec.answer == nil {
		return settlement{outcome: daisywallpb.Outcome_OUTCOME_UNKNOWN, reason: structs.ReasonDuplicate}
	}
	return settlement{rec.outcome, rec.answer, rec.reason}
}

// acknowledge drops the answers of requests whose callers have them.
func (l *ledger) acknowledge(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		rec, found := l.records[id]
		if found && rec.state == stateDone {
			l.dropAnswer(rec)
		}
	}
}

// size returns the number of records and the bytes of retained answers.
func (l *ledger) size() (records, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records), l.bytes
}

// expire forgets records whose retention has ended. The caller holds the lock.
func (l *ledger) expire(now time.Time) {
	for _, ended := range []*list.List{&l.plain, &l.kept} {
		for e := ended.Front(); e != nil; e = ended.Front() {
			rec := e.Value.(*record)
			if now.Before(rec.expires) {
				break
			}
			l.forget(rec)
		}
	}
}

func (l *ledger) dropOldestAnswer() bool {
	e := l.answers.Front()
	if e == nil {
		return false
	}
	l.dropAnswer(e.Value.(*record))
	return true
}

func (l *ledger) dropAnswer(rec *record) {
	if rec.held == nil {
		return
	}
	l.answers.Remove(rec.held)
	l.bytes -= rec.bytes
	rec.bytes, rec.answer, rec.held = 0, nil, nil
}

func (l *ledger) forget(rec *record) {
	l.dropAnswer(rec)
	if rec.element != nil {
		rec.ended.Remove(rec.element)
	}
	delete(l.records, rec.id)
}

func answerBytes(answer *daisywallpb.Answer) int {
	if answer == nil {
		return 0
	}
	size := len(answer.Body)
	for _, h := range answer.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
