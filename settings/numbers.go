package settings

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/daisywall/daisywall/structs"
)

const (
	// maxNumberLength is the length of the longest accepted number in
	// characters.
	maxNumberLength = 40
	// maxExponent is the largest accepted magnitude of a decimal exponent.
	maxExponent = 300
)

// oversizedNumbers returns a fault for each number that is too long or too
// large to compare exactly. The schema library expands numbers to all their
// digits, so a document with many numbers such as 1e1000000 would occupy it for
// hours.
func oversizedNumbers(path []string, value any) []structs.Fault {
	var faults []structs.Fault
	switch v := value.(type) {
	case map[string]any:
		for name, item := range v {
			faults = append(faults, oversizedNumbers(append(slices.Clone(path), name), item)...)
		}
	case []any:
		for i, item := range v {
			faults = append(faults, oversizedNumbers(append(slices.Clone(path), strconv.Itoa(i)), item)...)
		}
	case json.Number:
		if !canCompareExactly(v.String()) {
			faults = append(faults, structs.Fault{
				Path:  "/" + strings.Join(path, "/"),
				Value: truncate(v.String()),
				Rule:  "must be a number of at most 40 characters with an exponent of at most 300",
			})
		}
	}
	return faults
}

func canCompareExactly(number string) bool {
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
