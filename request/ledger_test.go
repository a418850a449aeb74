package request

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

func finishRequest(l *ledger, id string, idempotent bool, body string) *requestRecord {
	rec, _ := l.register(id, idempotent, 0)
	if rec == nil || !l.begin(rec) {
		return nil
	}
	l.finish(rec, answered, &daisywallpb.Answer{Status: 200, Body: []byte(body)}, "")
	return rec
}

func TestFullLedgerRefusesNewRequestsAndKeepsItsRecords(t *testing.T) {
	is := is.New(t)
	l := newLedger(ledgerLimits{records: 3, answerBytes: 1 << 20, retention: time.Minute})
	for i := range 3 {
		is.True(finishRequest(l, fmt.Sprint(i), false, "x") != nil)
	}
	rec, _ := l.register("new", false, 0)
	is.True(rec == nil)                     // refused
	is.True(l.settle("other", true) == nil) // without room it can't be fenced
	for i := range 3 {
		rec, fresh := l.register(fmt.Sprint(i), false, 0)
		is.True(rec != nil && !fresh) // still in the ledger
	}
}

func TestLedgerRemovesRecordsAfterTheirOwnRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLedger(ledgerLimits{records: 10, answerBytes: 1 << 20, retention: time.Minute})
		finishRequest(l, "plain", false, "x")
		rec, _ := l.register("keyed", false, time.Hour)
		l.begin(rec)
		l.finish(rec, answered, &daisywallpb.Answer{}, "")
		l.settle("fenced", true)
		time.Sleep(time.Minute)
		_, fresh := l.register("plain", false, 0)
		is.True(fresh)
		_, fresh = l.register("keyed", false, time.Hour)
		is.True(!fresh)
	})
}

func TestLedgerOverItsByteLimitDropsAnswersAndKeepsRecords(t *testing.T) {
	is := is.New(t)
	l := newLedger(ledgerLimits{records: 10, answerBytes: 25, retention: time.Minute})
	first := finishRequest(l, "1", false, "0123456789")
	finishRequest(l, "2", false, "0123456789")
	third := finishRequest(l, "3", false, "0123456789")
	is.Equal(l.settlementOf(first).outcome, unknown) // it ran, but its answer was dropped
	is.Equal(l.settlementOf(third).outcome, answered)
	records, bytes := l.size()
	is.Equal(records, 3)
	is.Equal(bytes, 20)
	l.acknowledge([]string{"3"})
	is.Equal(l.settlementOf(third).outcome, unknown)
	_, fresh := l.register("3", false, 0)
	is.True(!fresh) // acknowledged requests never run again
}

func TestLedgerKeepsIdempotentRequestsOnlyWhileInProgress(t *testing.T) {
	is := is.New(t)
	l := newLedger(ledgerLimits{records: 10, answerBytes: 1 << 20, retention: time.Minute})
	rec, _ := l.register("1", true, 0)
	again, fresh := l.register("1", true, 0)
	is.True(again == rec && !fresh)
	l.begin(rec)
	l.finish(rec, answered, &daisywallpb.Answer{}, "")
	is.Equal(l.settlementOf(rec).outcome, answered) // for other deliveries that wait for it
	records, _ := l.size()
	is.Equal(records, 0)
}
