package burn

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisywall/daisywall/substrate"
)

// Rows of the counts. Live rows belong to one daemon and one window; hour and
// day rows hold what was folded from all daemons. Starts are in Unix seconds.
const (
	prefix     = "burn/"
	livePrefix = prefix + "live/"
	hourPrefix = prefix + "hour/"
	dayPrefix  = prefix + "day/"
)

const day = 24 * time.Hour

// liveKey sorts like the start of the window.
func liveKey(start int64, writer string) string {
	return fmt.Sprintf("%s%012d/%s", livePrefix, start, writer)
}

func foldedKey(prefix string, start int64) string { return fmt.Sprintf("%s%012d", prefix, start) }

// bucket is the decoded content of one row.
type bucket struct {
	key    string
	start  time.Time
	length time.Duration
	counts *counts
}

func (b bucket) end() time.Time { return b.start.Add(b.length) }

// hash identifies a row among those that were folded.
func hash(key string) uint64 { return xxhash.Sum64String(key) }

// period reads the start and the length of a row's period from its key.
func period(key string) (start time.Time, length time.Duration, err error) {
	for p, length := range map[string]time.Duration{livePrefix: Window, hourPrefix: time.Hour, dayPrefix: day} {
		rest, found := strings.CutPrefix(key, p)
		if !found {
			continue
		}
		digits, _, _ := strings.Cut(rest, "/")
		seconds, err := strconv.ParseInt(digits, 10, 64)
		if err != nil {
			return time.Time{}, 0, &CorruptError{Key: key, Detail: "has no start", Err: err}
		}
		return time.Unix(seconds, 0).UTC(), length, nil
	}
	return time.Time{}, 0, &CorruptError{Key: key, Detail: "unknown prefix"}
}

// decodeRow reads a row of any of the prefixes.
func decodeRow(row substrate.Row) (bucket, error) {
	start, length, err := period(row.Key)
	if err != nil {
		return bucket{}, err
	}
	c, err := decodeCounts(row.Key, row.Value)
	if err != nil {
		return bucket{}, err
	}
	return bucket{key: row.Key, start: start, length: length, counts: c}, nil
}

// decodeRows reads the rows that were not deleted, without live rows that an
// hour row has taken in.
func decodeRows(rows []substrate.Row) ([]bucket, error) {
	var buckets []bucket
	folded := map[uint64]bool{}
	for _, row := range rows {
		if row.Value == nil {
			continue
		}
		b, err := decodeRow(row)
		if err != nil {
			return nil, err
		}
		for _, h := range b.counts.Folded {
			folded[h] = true
		}
		buckets = append(buckets, b)
	}
	return slices.DeleteFunc(buckets, func(b bucket) bool { return folded[hash(b.key)] }), nil
}
