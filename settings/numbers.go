package settings

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/daisywall/daisywall/structs"
)

const (
	// maxNumberLength is the longest number, in characters.
	maxNumberLength = 40
	// maxExponent is the largest magnitude of a decimal exponent.
	maxExponent = 300
)

// oversized returns a fault for each number that is too long or too large to
// be compared exactly. The schema library expands numbers to all their digits:
// a document of many numbers such as 1e1000000 would hold it up for hours.
func oversized(path []string, value any) []structs.Fault {
	var list []structs.Fault
	switch v := value.(type) {
	case map[string]any:
		for name, item := range v {
			list = append(list, oversized(append(slices.Clone(path), name), item)...)
		}
	case []any:
		for i, item := range v {
			list = append(list, oversized(append(slices.Clone(path), strconv.Itoa(i)), item)...)
		}
	case json.Number:
		if !exact(v.String()) {
			list = append(list, structs.Fault{
				Path:  "/" + strings.Join(path, "/"),
				Value: shorten(v.String()),
				Rule:  "must be a number of at most 40 characters with an exponent of at most 300",
			})
		}
	}
	return list
}

func exact(number string) bool {
	_, exponent, found := strings.Cut(strings.ToLower(number), "e")
	if len(number) > maxNumberLength {
		return false
	}
	if !found {
		return true
	}
	n, err := strconv.Atoi(exponent)
	return err == nil && n <= maxExponent && n >= -maxExponent
}
