package boundedjson

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestListsAreDecodedUpToTheirLimit(t *testing.T) {
	for _, c := range []struct {
		text         string
		elements     int
		isTooLong    bool
		isUnreadable bool
	}{
		{text: `[]`},
		{text: `null`},
		{text: ` [1, 2, 3]`, elements: 3},
		{text: `[1,2,3,4]`, elements: 3, isTooLong: true},
		{text: `{}`, isUnreadable: true},
		{text: `"1"`, isUnreadable: true},
		{text: `["1"]`, isUnreadable: true},
	} {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			list, listErr := List[int]([]byte(c.text), 3)
			var tooLong *TooLongError
			is.Equal(errors.As(listErr, &tooLong), c.isTooLong)
			is.Equal(len(list), c.elements)
			is.Equal(listErr != nil, c.isTooLong || c.isUnreadable)
		})
	}
}

// TestMemoryOfAListDependsOnItsLimit decodes a text whose elements take more than
// a hundred times their size.
func TestMemoryOfAListDependsOnItsLimit(t *testing.T) {
	type large struct{ Fields [40]int64 }
	text := []byte("[" + strings.Repeat("{},", 100_000) + "{}]")
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			if _, err := List[large](text, 64); err == nil {
				b.Fatal("the list was not refused")
			}
		}
	})
	if perCall := result.AllocedBytesPerOp(); perCall > int64(2*len(text)) {
		t.Errorf("%d bytes for a text of %d", perCall, len(text))
	}
}
