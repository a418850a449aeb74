package burn

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

func sortNames(names []string) []string {
	slices.Sort(names)
	return names
}

// sampleReport returns the report on one day that has an hour of high latency
// near its end.
func sampleReport(t *testing.T) (report *Report) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(1)
		for hour := range 24 {
			for i := range 100 {
				request := goodRequest(time.Duration(50+i) * time.Millisecond)
				if hour == 22 && i < 30 {
					request = badRequest(700 * time.Millisecond)
				}
				request.OutDomains = []structs.FailureDomainID{"osijek"}[:hour%2]
				s.recorders[0].RecordRequest(request)
			}
			task := Task{Team: "jabuka", Class: "pricing", OutDomains: []structs.FailureDomainID{"osijek"}[:hour%2]}
			s.recorders[0].RecordTask(task)
			s.recorders[0].RecordJob(Job{Team: "jabuka", Class: "pricing", OnTime: hour != 5})
			s.recorders[0].RecordEviction("jabuka", "pricing")
			s.flushAll(t.Context())
			time.Sleep(time.Hour)
			is.New(t).NoErr(s.folder.Fold(t.Context()))
		}
		var err error
		report, err = Load(t.Context(), s.table, testConfig())
		is.New(t).NoErr(err)
	})
	return report
}

func TestReportCountsObjectivesAndBudget(t *testing.T) {
	is := is.New(t)
	report := sampleReport(t)
	is.Equal(report.ConfigRevision, int64(7))
	check := report.Requests[0]
	is.Equal(check.Status.Good, int64(2370))
	is.Equal(check.Status.Bad, int64(30))
	is.Equal(formatPercent(check.Status.BudgetLeft), "-25%") // 1.25% of the 1% that may be bad
	is.Equal(check.Status.State, StateSpent)
	is.True(check.Status.Burn.Hours6 > check.Status.Burn.Days3)
	is.Equal(check.Status.Burn.Minutes5, 0.0)
	pricing := report.Batch[0]
	is.Equal(pricing.Status.Good, int64(23))
	is.Equal(pricing.Status.Bad, int64(1))
	is.Equal(pricing.Tasks, int64(24))
	is.Equal(pricing.Evictions, int64(24))
	is.Equal(report.Domains, []DomainReport{{Domain: "osijek", Tasks: 12, Requests: 12*100 - 0}})
}

func TestPercentilesAreNeverTooLowAndAtMostAnEighthTooHigh(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := rapid.Int64Range(minLatencyMS, maxLatencyMS).Draw(rt, "ms")
		r := &requestCounts{Latencies: newLatencyHistogram()}
		r.Latencies.record(time.Duration(ms) * time.Millisecond)
		for _, p := range []float64{percentileMedian, percentileTail} {
			if have := r.percentile(p); have < ms || have > ms+ms/8+1 {
				rt.Fatalf("percentile of %d ms is %d ms", ms, have)
			}
		}
	})
}

func TestStateFollowsTheBurnRates(t *testing.T) {
	for name, test := range map[string]struct {
		status Status
		want   State
	}{
		"no burn":                               {Status{BudgetLeft: 1}, StateOK},
		"a short spike is not a fast burn":      {Status{BudgetLeft: 0.9, Burn: Rates{Minutes5: 50, Hour1: 3}}, StateOK},
		"a past spike is not a fast burn":       {Status{BudgetLeft: 0.9, Burn: Rates{Minutes5: 0, Hour1: 30}}, StateOK},
		"both short windows burn fast":          {Status{BudgetLeft: 0.9, Burn: Rates{Minutes5: 20, Hour1: 15}}, StateFastBurn},
		"both long windows burn":                {Status{BudgetLeft: 0.5, Burn: Rates{Hours6: 2, Days3: 1}}, StateSlowBurn},
		"only the longest window burns":         {Status{BudgetLeft: 0.5, Burn: Rates{Hours6: 0.1, Days3: 2}}, StateOK},
		"no budget is left":                     {Status{BudgetLeft: 0}, StateSpent},
		"fast burn takes precedence over spent": {Status{BudgetLeft: -1, Burn: Rates{Minutes5: 20, Hour1: 15}}, StateFastBurn},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(classifyState(test.status), test.want) })
	}
}

func TestReportRendersAsTextAndJSON(t *testing.T) {
	is := is.New(t)
	report := sampleReport(t)
	text := report.Text()
	for _, part := range []string{"jabuka/slot-check", "99% in 250 ms", "spent", "jabuka/pricing", "osijek"} {
		is.True(strings.Contains(text, part))
	}
	data, err := report.JSON()
	is.NoErr(err)
	var decoded Report
	is.NoErr(json.Unmarshal(data, &decoded))
	is.Equal(&decoded, report)
}

func TestPageIsSelfContainedAndWellFormed(t *testing.T) {
	is := is.New(t)
	report := sampleReport(t)
	report.Domains = append(report.Domains, DomainReport{Domain: "<script>alert(1)</script>"})
	page, err := report.HTML()
	is.NoErr(err)
	for _, part := range []string{"http:", "https:", "<script", "src=", "href=", "NaN", "Inf"} {
		if bytes.Contains(page, []byte(part)) {
			t.Errorf("page contains %q", part)
		}
	}
	is.Equal(bytes.Count(page, []byte("<svg")), 4)
	decoder := xml.NewDecoder(bytes.NewReader(page))
	decoder.Strict, decoder.AutoClose, decoder.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
	}
}

func TestPageOfAnEmptyReport(t *testing.T) {
	is := is.New(t)
	report, err := Load(t.Context(), standin.NewTable(), testConfig())
	is.NoErr(err)
	is.Equal(report.Requests[0].Status.State, StateOK)
	_, err = report.HTML()
	is.NoErr(err)
	report, err = Load(t.Context(), standin.NewTable(), &structs.Config{})
	is.NoErr(err)
	page, err := report.HTML()
	is.NoErr(err)
	is.True(bytes.Contains(page, []byte("No kinds of requests are configured.")))
}

func deflate(t *testing.T, data []byte) []byte {
	t.Helper()
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	is.New(t).NoErr(err)
	_, err = w.Write(data)
	is.New(t).NoErr(err)
	is.New(t).NoErr(w.Close())
	return packed.Bytes()
}

func FuzzDecodeCounts(f *testing.F) {
	r := NewRecorder()
	r.RecordRequest(goodRequest(time.Second))
	r.RecordJob(Job{Team: "graz", Class: "matching", OnTime: true})
	r.RecordTask(Task{Team: "graz", Class: "matching", OutDomains: []structs.FailureDomainID{"mur"}})
	for _, c := range r.drain() {
		data, err := json.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"requests": {"a/b": null, "c/d": {"latencies": [1]}}, "batch": {"a/b": {"late": -1}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := decodeCounts("row", data); err != nil {
			var corrupt *CorruptError
			is.New(t).True(errors.As(err, &corrupt))
		}
		c, err := decodeCounts("row", deflate(t, data)) // reaches the JSON decoder
		if err != nil {
			var corrupt *CorruptError
			is.New(t).True(errors.As(err, &corrupt))
			return
		}
		_, err = encodeCounts(c)
		is.New(t).NoErr(err)
	})
}
