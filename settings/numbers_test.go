package settings

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// TestOversizedNumbersAreRejectedBeforeValidation guards against documents that
// occupy a daemon for hours. Validation expands a number such as 1e1000000 to
// all its digits.
func TestOversizedNumbersAreRejectedBeforeValidation(t *testing.T) {
	is := is.New(t)
	schema := MustCompile("numbers", []byte(`{"type": "object", "properties": {"list": {"items": {"type": "integer", "maximum": 9}}}}`))
	var out any
	err := schema.Decode([]byte(`{"list": [1e1000000, 3, -1e-1000000, 11111111111111111111111111111111111111111]}`), &out)
	var invalid *structs.InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), 3)
	is.Equal(invalid.Faults[0].Path, "/list/0")
	is.Equal(invalid.Faults[0].Rule, "must be a number of at most 40 characters with an exponent of at most 300")
	is.Equal(invalid.Faults[0].Value, "1e1000000")
	is.NoErr(schema.Decode([]byte(`{"list": [1e0, 3]}`), &out))
}
