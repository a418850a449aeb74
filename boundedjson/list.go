// Package boundedjson decodes JSON from clients into a bounded amount of
// memory. What a text decodes to may take a hundred times its size: the two bytes
// of "{}" become a struct.
package boundedjson

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// TooLongError reports a JSON array or object with more than Max elements.
type TooLongError struct{ Max int }

func (e *TooLongError) Error() string { return fmt.Sprintf("more than %d elements", e.Max) }

// NotAListError reports a JSON value that is not an array.
type NotAListError struct{}

func (e *NotAListError) Error() string { return "not an array" }

// EachElement decodes the elements of a JSON array one after another and calls
// use for each, until use returns an error. It holds one element at a time. The
// text null has no elements.
func EachElement[T any](text []byte, use func(T) error) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	open, err := decoder.Token()
	if err != nil {
		return fmt.Errorf("read array: %w", err)
	}
	if open == nil {
		return nil
	}
	if open != json.Delim('[') {
		return &NotAListError{}
	}
	for decoder.More() {
		var element T
		if err := decoder.Decode(&element); err != nil {
			return fmt.Errorf("read element: %w", err)
		}
		if err := use(element); err != nil {
			return err
		}
	}
	return nil
}

// List decodes a JSON array of at most max elements. It returns *TooLongError
// for a longer one.
func List[T any](text []byte, max int) ([]T, error) {
	var list []T
	err := EachElement(text, func(element T) error {
		if len(list) == max {
			return &TooLongError{Max: max}
		}
		list = append(list, element)
		return nil
	})
	return list, err
}
