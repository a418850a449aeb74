package burn

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/bits"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisywall/daisywall/structs"
)

const (
	// Range and precision of recorded latencies.
	minLatencyMS  = 1
	maxLatencyMS  = 3_600_000
	latencyDigits = 1    // significant decimal digits of the values that the histogram distinguishes
	latencyBits   = 4    // significant bits of a recorded latency
	maxKeysPerMap = 4096 // limit of each map of one window, events with further keys are dropped
	keySeparator  = "/"
	maxRowBytes   = 16 << 20 // size of a row's value after decompression

	percentileMedian = 50
	percentileTail   = 99
)

// latencyHistogram is a histogram of latencies in milliseconds that encodes
// itself as JSON.
type latencyHistogram struct {
	histogram *hdr.Histogram
}

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{hdr.New(minLatencyMS, maxLatencyMS, latencyDigits)}
}

// record counts a latency rounded up to 4 significant bits. A percentile is
// therefore never too low and at most one eighth too high.
func (l *latencyHistogram) record(d time.Duration) {
	ms := min(max(d.Milliseconds(), minLatencyMS), maxLatencyMS)
	if shift := bits.Len64(uint64(ms)) - latencyBits; shift > 0 {
		ms = min((ms>>shift+1)<<shift-1, maxLatencyMS)
	}
	_ = l.histogram.RecordValue(ms) // cannot fail because the value is in range
}

// MarshalJSON encodes the used buckets as pairs of a value and its count.
func (l *latencyHistogram) MarshalJSON() ([]byte, error) {
	pairs := []int64{}
	for _, bar := range l.histogram.Distribution() {
		if bar.Count > 0 {
			pairs = append(pairs, bar.From, bar.Count)
		}
	}
	data, err := json.Marshal(pairs)
	if err != nil {
		return nil, fmt.Errorf("encode latencies: %w", err)
	}
	return data, nil
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (l *latencyHistogram) UnmarshalJSON(data []byte) error {
	var pairs []int64
	if err := json.Unmarshal(data, &pairs); err != nil {
		return fmt.Errorf("decode latencies: %w", err)
	}
	*l = *newLatencyHistogram()
	for pair := range slices.Chunk(pairs, 2) {
		if len(pair) < 2 || pair[1] < 0 {
			return &CorruptError{Key: "latencies", Detail: "not pairs of a value and its count"}
		}
		if err := l.histogram.RecordValues(pair[0], pair[1]); err != nil {
			return fmt.Errorf("decode latencies: %w", err)
		}
	}
	return nil
}

// requestCounts counts the requests of one kind.
type requestCounts struct {
	Good      int64             `json:"good"`
	Bad       int64             `json:"bad"`
	Outcomes  map[string]int64  `json:"outcomes,omitempty"`
	Latencies *latencyHistogram `json:"latencies,omitempty"`
}

// batchCounts counts the jobs and tasks of one batch class.
type batchCounts struct {
	OnTime    int64 `json:"on_time,omitempty"` // number of jobs
	Late      int64 `json:"late,omitempty"`    // number of jobs
	Tasks     int64 `json:"tasks,omitempty"`   // number of finished tasks
	Evictions int64 `json:"evictions,omitempty"`
}

// domainCounts counts the work that was completed while a failure domain was
// out of service.
type domainCounts struct {
	Tasks    int64 `json:"tasks,omitempty"`
	Requests int64 `json:"requests,omitempty"`
}

// counts is the decoded content of one row.
type counts struct {
	Requests map[string]*requestCounts                 `json:"requests,omitempty"` // by team/kind
	Batch    map[string]*batchCounts                   `json:"batch,omitempty"`    // by team/class
	Domains  map[structs.FailureDomainID]*domainCounts `json:"domains,omitempty"`
	// Folded holds the hashes of the keys of the live rows that were merged
	// into this hour row. If a late write recreates such a live row, it is not
	// counted again.
	Folded []uint64 `json:"folded,omitempty"`
}

func newCounts() *counts {
	return &counts{
		Requests: map[string]*requestCounts{},
		Batch:    map[string]*batchCounts{},
		Domains:  map[structs.FailureDomainID]*domainCounts{},
	}
}

// getOrCreate returns the item of the key and creates it if it is absent. It
// returns nil if the map is full.
func getOrCreate[K comparable, V any](m map[K]*V, key K) *V {
	item, found := m[key]
	if found {
		return item
	}
	if len(m) >= maxKeysPerMap {
		return nil
	}
	item = new(V)
	m[key] = item
	return item
}

// add adds the counts of other to c. It does not copy the list Folded of other.
func (c *counts) add(other *counts) {
	for key, o := range other.Requests {
		if item := getOrCreate(c.Requests, key); item != nil {
			item.add(o)
		}
	}
	for key, o := range other.Batch {
		if item := getOrCreate(c.Batch, key); item != nil {
			item.OnTime += o.OnTime
			item.Late += o.Late
			item.Tasks += o.Tasks
			item.Evictions += o.Evictions
		}
	}
	for key, o := range other.Domains {
		if item := getOrCreate(c.Domains, key); item != nil {
			item.Tasks += o.Tasks
			item.Requests += o.Requests
		}
	}
}

func (r *requestCounts) add(o *requestCounts) {
	r.Good += o.Good
	r.Bad += o.Bad
	if r.Outcomes == nil {
		r.Outcomes = map[string]int64{}
	}
	for outcome, n := range o.Outcomes {
		r.Outcomes[outcome] += n
	}
	if o.Latencies == nil {
		return
	}
	if r.Latencies == nil {
		r.Latencies = newLatencyHistogram()
	}
	r.Latencies.histogram.Merge(o.Latencies.histogram)
}

// mergeCounts returns the sum of the given counts as a new value.
func mergeCounts(parts ...*counts) *counts {
	total := newCounts()
	for _, part := range parts {
		if part != nil {
			total.add(part)
		}
	}
	return total
}

// encodeCounts encodes counts as deflated JSON.
func encodeCounts(c *counts) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("encode counts: %w", err)
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, fmt.Errorf("encode counts: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encode counts: %w", err)
	}
	return compressed.Bytes(), nil
}

func decodeCounts(key string, compressed []byte) (*counts, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxRowBytes+1))
	if err != nil {
		return nil, &CorruptError{Key: key, Detail: "not unpackable", Err: err}
	}
	if len(data) > maxRowBytes {
		return nil, &CorruptError{Key: key, Detail: fmt.Sprintf("larger than %d bytes", maxRowBytes)}
	}
	c := newCounts()
	if err := json.Unmarshal(data, c); err != nil {
		return nil, &CorruptError{Key: key, Detail: "not readable", Err: err}
	}
	maps.DeleteFunc(c.Requests, func(_ string, r *requestCounts) bool { return r == nil })
	maps.DeleteFunc(c.Batch, func(_ string, b *batchCounts) bool { return b == nil })
	maps.DeleteFunc(c.Domains, func(_ structs.FailureDomainID, d *domainCounts) bool { return d == nil })
	bounded := mergeCounts(c)
	bounded.Folded = c.Folded
	return bounded, nil
}

// CorruptError reports a row that cannot be decoded.
type CorruptError struct {
	Key    string
	Detail string
	Err    error // cause, nil if there is none
}

func (e *CorruptError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("row %s: %s: %v", e.Key, e.Detail, e.Err)
	}
	return fmt.Sprintf("row %s: %s", e.Key, e.Detail)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }
