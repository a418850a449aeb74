package request

import (
	"container/list"
	"sync"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// recordState is the progress of a request in the ledger.
type recordState int

const (
	stateQueued recordState = iota // admitted, not yet begun
	stateBegun                     // being sent to a target
	stateEnded                     // begun and ended, or refused; the outcome is final
	stateFenced                    // never begun, and can't begin any more
)

// requestRecord is the ledger's entry for one request ID.
type requestRecord struct {
	id            string
	idempotent    bool
	state         recordState
	outcome       daisywallpb.Outcome
	reason        structs.Reason
	answer        *daisywallpb.Answer // nil if there is none or it was dropped
	answerBytes   int                 // size of the retained answer, 0 once dropped
	retention     time.Duration
	expires       time.Time     // end of the retention, zero until the record is final
	final         chan struct{} // closed when the outcome is final
	endedList     *list.List    // ledger list that holds the final record, nil until the record is final
	endedElement  *list.Element // element in endedList
	answerElement *list.Element // element in ledger.withAnswer, nil without a retained answer
}

// ledgerLimits bounds the size of the ledger and sets its default retention.
type ledgerLimits struct {
	records     int           // maximum number of request IDs
	answerBytes int           // maximum total size of retained answers
	retention   time.Duration // minimum and default retention of an outcome
}

// ledger keeps the outcome of each request ID, so that a non-idempotent request
// begins at most once on this agent.
//
// Idempotent requests are kept only while they are in progress. A
// non-idempotent request is never removed before the end of its retention. When
// the ledger holds its maximum of records, it refuses new requests (queue_full)
// and can't fence unknown ones, so that Settle answers unknown. When the
// retained answers exceed their maximum size, the ledger drops the oldest
// answers but keeps their records. Settle then reports their outcome as
// unknown.
type ledger struct {
	limits ledgerLimits

	mu      sync.Mutex
	records map[string]*requestRecord
	// Final records in the order in which they ended. The records of one list
	// also expire in this order.
	endedDefaultRetention, endedLongRetention list.List
	withAnswer                                list.List // records with a retained answer, oldest first
	answerBytes                               int       // total size of retained answers
}

func newLedger(limits ledgerLimits) *ledger {
	return &ledger{limits: limits, records: map[string]*requestRecord{}}
}

// register adds a request as queued. For an ID that is already in the ledger it
// returns the existing record, and isNew is false. It returns nil when the
// ledger is full.
func (l *ledger) register(id string, idempotent bool, retention time.Duration) (rec *requestRecord, isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(time.Now())
	if existing, found := l.records[id]; found {
		return existing, false
	}
	if len(l.records) >= l.limits.records {
		return nil, false
	}
	if retention < l.limits.retention {
		retention = l.limits.retention
	}
	rec = &requestRecord{id: id, idempotent: idempotent, retention: retention, final: make(chan struct{})}
	l.records[id] = rec
	return rec, true
}

// begin marks a queued request as begun. It returns false if the request is no
// longer queued because it was fenced.
func (l *ledger) begin(rec *requestRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.state != stateQueued {
		return false
	}
	rec.state = stateBegun
	return true
}

// removeRefused removes a request that was refused before it began, so that its
// ID may be sent again. A fenced record is kept.
func (l *ledger) removeRefused(rec *requestRecord, reason structs.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.state != stateQueued {
		return
	}
	delete(l.records, rec.id)
	rec.state, rec.outcome, rec.reason = stateEnded, daisywallpb.Outcome_OUTCOME_NOT_RUN, reason
	close(rec.final)
}

// finish stores the outcome of a request that has begun.
func (l *ledger) finish(rec *requestRecord, outcome daisywallpb.Outcome, answer *daisywallpb.Answer, reason structs.Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.state, rec.outcome, rec.answer, rec.reason = stateEnded, outcome, answer, reason
	if rec.idempotent || outcome == daisywallpb.Outcome_OUTCOME_NOT_RUN {
		// The ID may be sent again.
		delete(l.records, rec.id)
		close(rec.final)
		return
	}
	rec.answerBytes = answerBytes(answer)
	l.markFinal(rec)
	for l.answerBytes > l.limits.answerBytes && l.dropOldestAnswer() {
		continue
	}
}

// markFinal starts the retention of a record and wakes those that wait for its
// outcome. The caller holds the lock.
func (l *ledger) markFinal(rec *requestRecord) {
	rec.expires = time.Now().Add(rec.retention)
	rec.endedList = l.endedListOf(rec)
	rec.endedElement = rec.endedList.PushBack(rec)
	if rec.answer != nil {
		rec.answerElement = l.withAnswer.PushBack(rec)
		l.answerBytes += rec.answerBytes
	}
	close(rec.final)
}

// endedListOf returns the list for the retention of a final record.
func (l *ledger) endedListOf(rec *requestRecord) *list.List {
	if rec.retention > l.limits.retention {
		return &l.endedLongRetention
	}
	return &l.endedDefaultRetention
}

// settlement is the recorded outcome of a request ID.
type settlement struct {
	outcome daisywallpb.Outcome
	answer  *daisywallpb.Answer
	reason  structs.Reason
}

// settle returns the record of a request ID and fences the request if it has
// not begun. It returns nil if the ID has no record and can't be fenced, either
// because the ledger is full or because withinRetention is false and an earlier
// record may have expired.
func (l *ledger) settle(id string, withinRetention bool) *requestRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(time.Now())
	rec, found := l.records[id]
	if !found {
		if !withinRetention || len(l.records) >= l.limits.records {
			return nil
		}
		rec = &requestRecord{id: id, retention: l.limits.retention, final: make(chan struct{})}
		l.records[id] = rec
	}
	if !found || rec.state == stateQueued {
		rec.state, rec.outcome, rec.reason = stateFenced, daisywallpb.Outcome_OUTCOME_NOT_RUN, structs.ReasonFenced
		l.markFinal(rec)
	}
	return rec
}

// settlementOf returns the outcome of a record, or OUTCOME_RUNNING if the
// record is not final yet.
func (l *ledger) settlementOf(rec *requestRecord) settlement {
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

// acknowledge drops the answers that the entry has received.
func (l *ledger) acknowledge(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		rec, found := l.records[id]
		if found && rec.state == stateEnded {
			l.dropAnswer(rec)
		}
	}
}

// size returns the number of records and the bytes of retained answers.
func (l *ledger) size() (records, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records), l.answerBytes
}

// expire removes records whose retention has ended. The caller holds the lock.
func (l *ledger) expire(now time.Time) {
	for _, ended := range []*list.List{&l.endedDefaultRetention, &l.endedLongRetention} {
		for e := ended.Front(); e != nil; e = ended.Front() {
			rec := e.Value.(*requestRecord)
			if now.Before(rec.expires) {
				break
			}
			l.remove(rec)
		}
	}
}

func (l *ledger) dropOldestAnswer() bool {
	e := l.withAnswer.Front()
	if e == nil {
		return false
	}
	l.dropAnswer(e.Value.(*requestRecord))
	return true
}

func (l *ledger) dropAnswer(rec *requestRecord) {
	if rec.answerElement == nil {
		return
	}
	l.withAnswer.Remove(rec.answerElement)
	l.answerBytes -= rec.answerBytes
	rec.answerBytes, rec.answer, rec.answerElement = 0, nil, nil
}

func (l *ledger) remove(rec *requestRecord) {
	l.dropAnswer(rec)
	if rec.endedElement != nil {
		rec.endedList.Remove(rec.endedElement)
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
