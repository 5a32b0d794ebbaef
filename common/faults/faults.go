// Package faults collects everything that is wrong with an input, each fault
// with its field and the way to mend it.
package faults

import (
	"fmt"
	"strings"
)

// FieldError is one thing wrong with an input.
type FieldError struct {
	// Field is the path of the field, such as routes[slips].service.
	Field string
	// Problem says what is wrong and how to mend it.
	Problem string
}

// Error returns the field and the problem on one line.
func (f FieldError) Error() string {
	return f.Field + ": " + f.Problem
}

// List is all that is wrong with an input.
type List []FieldError

var _ error = List(nil)

// Error returns the faults, one a line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, fieldErr := range l {
		lines = append(lines, fieldErr.Error())
	}
	return strings.Join(lines, "\n")
}

// Addf appends a fault.
func (l *List) Addf(field, format string, args ...any) {
	*l = append(*l, FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}
