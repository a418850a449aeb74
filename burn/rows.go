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

// Key prefixes of the rows with counts. A live row belongs to one daemon and
// one window. Hour rows and day rows hold the folded counts of all daemons. A
// key contains the start of the row's period in Unix seconds.
const (
	rowPrefix  = "burn/"
	livePrefix = rowPrefix + "live/"
	hourPrefix = rowPrefix + "hour/"
	dayPrefix  = rowPrefix + "day/"
)

const day = 24 * time.Hour

// liveKey returns the key of a live row. Keys sort by the start of the window.
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

// hashKey returns the hash of a live row's key for the list of folded rows.
func hashKey(key string) uint64 { return xxhash.Sum64String(key) }

// parsePeriod parses the start and the length of a row's period from its key.
func parsePeriod(key string) (start time.Time, length time.Duration, err error) {
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

// decodeRow decodes a live row, an hour row or a day row.
func decodeRow(row substrate.Row) (bucket, error) {
	start, length, err := parsePeriod(row.Key)
	if err != nil {
		return bucket{}, err
	}
	c, err := decodeCounts(row.Key, row.Value)
	if err != nil {
		return bucket{}, err
	}
	return bucket{key: row.Key, start: start, length: length, counts: c}, nil
}

// decodeRows decodes the rows that are not deleted. It omits live rows that
// were already folded into an hour row.
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
	return slices.DeleteFunc(buckets, func(b bucket) bool { return folded[hashKey(b.key)] }), nil
}
