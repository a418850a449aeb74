package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

var deeplyNested = strings.Repeat("[", 60_000)

// Guards against a fleet without a leader, or with one whose fencing tokens overflow,
// because another writer has replaced the leadership row.
func TestFleetWorksOnAfterTheLeadershipRowWasReplaced(t *testing.T) {
	for name, value := range map[string]string{
		"empty":              "",
		"no JSON":            "\xff\xfe",
		"another type":       `[1,2]`,
		"nested deeply":      deeplyNested,
		"no fields":          `{}`,
		"highest epoch":      `{"address":"host-0","epoch":9223372036854775807,"commit":1}`,
		"epoch in 2^43":      `{"address":"host-0","epoch":8796093022208,"commit":1}`,
		"negative epoch":     `{"address":"host-0","epoch":-5,"commit":1}`,
		"epoch not a number": `{"address":"host-0","epoch":"x","commit":1}`,
		"negative commit":    `{"address":"host-0","epoch":1,"commit":-9223372036854775808}`,
		"endless lease":      `{"address":"host-0","epoch":1,"commit":1,"leases":[{"worker":"host-1","ms":9223372036854775807}]}`,
		"past lease":         `{"address":"host-0","epoch":1,"commit":1,"leases":[{"worker":"host-1","ms":-9223372036854775808}]}`,
		"unknown address":    `{"address":"127.0.0.1:99999","epoch":%d,"commit":1}`,
		"address of no form": `{"address":"%%zz ::/","epoch":%d,"commit":1}`,
	} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 4, func(f *simulatedFleet) {
				is := is.New(t)
				f.runTime.set(func(structs.RunID) time.Duration { return 12 * time.Second })
				l := f.waitReady()
				e := f.newEntry()
				defer e.Close()
				is.NoErr(f.submit(e, testJob("a", 8)))
				f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 8 })
				if strings.Contains(value, "%d") {
					value = fmt.Sprintf(value, l.epoch+1)
				}
				f.replaceRow(tableLeader, leaderKey, value)
				f.waitUntil("another leadership", 5*time.Second, func() bool {
					h := f.leaderHost()
					return h != nil && h.node.activeLeader() != l
				})
				next := f.waitReady()
				is.True(next.epoch > l.epoch)
				is.True(fencingTokenOf(next.epoch, 1) > fencingTokenOf(l.epoch, 1))
				is.NoErr(f.submit(e, testJob("b", 2)))
				for _, id := range []string{"a", "b"} {
					f.waitUntil("completed", 16*time.Second, func() bool { return f.phase(e, id) == structs.JobCompleted })
				}
				is.Equal(f.checker.StartsOfJob("a"), 8)
			})
		})
	}
}

// replaceRow writes a row of the fleet without a condition.
func (f *simulatedFleet) replaceRow(table, key, value string) {
	f.t.Helper()
	if _, err := f.store.Commit(substrate.PartTxn{Puts: []substrate.PartRow{{Table: table, Part: fleetPart, Key: key, Value: []byte(value)}}}); err != nil {
		f.t.Fatal(err)
	}
}

// Guards against leaders that end, or lose other jobs, because of rows that another
// writer has added to the tables of the fleet.
func TestNextLeaderSkipsRowsOfAnotherWriter(t *testing.T) {
	values := []string{
		"", "\xff", "null", "[]", "{}", "1e400", deeplyNested, `{"p":"running","t":[[{"t":[{"r":2147483647}]}]]}`, `{"p":"running","t":[[{"t":[{"r":-1}]}]]}`,
		`{"p":"running","t":[[{"t":[{"s":255,"r":1}]}]]}`, `{"p":"running","t":[[{"t":[{"f":-2147483648}]}]]}`, `{"p":"running","t":[[{"t":[{"r":1e300}]}]]}`,
	}
	runInFleet(t, 4, func(f *simulatedFleet) {
		is := is.New(t)
		f.runTime.set(func(structs.RunID) time.Duration { return 4 * time.Second })
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 8)))
		f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 8 })
		for i, value := range values {
			f.replaceRow(tableState, fmt.Sprint("without-spec-", i), value)
			id := fmt.Sprint("z-", i)
			spec, err := workflow.New(*testJob(id, 1), testQueue).EncodeSpec()
			is.NoErr(err)
			f.replaceRow(tableState, id, value)
			f.replaceRow(tableJobs, id, string(spec))
			f.replaceRow(tableState, "copy-of-"+id, `{"p":"queued","t":[[{}]]}`)
			f.replaceRow(tableJobs, "copy-of-"+id, string(spec))
			f.replaceRow(tableJobs, fmt.Sprint("without-state-", i), value)
		}
		f.replaceRow(tableModel, modelKey, deeplyNested)
		f.replaceRow(tableModel, runTimesKey, "\xff\xff\xff\xff\xff\xff")
		f.replaceRow(tableModel, "other", "x")
		for range 2 {
			killed := f.leaderHost()
			killed.killAgent()
			killed.startAgent()
			f.waitReady()
		}
		is.NoErr(f.submit(e, testJob("b", 2)))
		for _, id := range []string{"a", "b"} {
			f.waitUntil("completed", 10*time.Second, func() bool { return f.phase(e, id) == structs.JobCompleted })
		}
		is.Equal(f.checker.StartsOfJob("a"), 8)
		for _, id := range f.checker.EventsMatching("started z-") {
			t.Error(id)
		}
	})
}

func FuzzLeaderRow(f *testing.F) {
	f.Add([]byte(`{"address":"host-0","epoch":7,"commit":1,"leases":[{"worker":"host-1","ms":5000}]}`), int64(9))
	f.Add([]byte(`{"address":"host-0","epoch":9223372036854775807}`), int64(9))
	f.Fuzz(func(t *testing.T, data []byte, version int64) {
		version = max(1, version)
		r := decodeLeaderRow(substrate.PartRow{Value: data, Version: version})
		if r.Version != version || r.Epoch < 1 || r.Epoch > version {
			t.Errorf("version %d: %+v", version, r)
		}
		for _, b := range r.Leases {
			if b.Ms < 0 || time.Duration(b.Ms)*time.Millisecond > maxLeaseBound {
				t.Errorf("lease %+v", b)
			}
		}
	})
}
