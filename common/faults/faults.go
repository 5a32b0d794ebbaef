// Package faults collects all errors in an input, each with its field and how
// to fix it.
package faults

import (
	"fmt"
	"strings"
)

// FieldError is one error in an input.
type FieldError struct {
	// Field is the path of the field, such as routes[slips].service.
	Field string
	// Problem says what is wrong and how to fix it.
	Problem string
	// Line is the line of the input; 0 if it is not known.
	Line int
}

// Error returns the field and the problem on one line.
func (f FieldError) Error() string {
	return f.Field + ": " + f.Problem
}

// List holds all errors in an input.
type List []FieldError

var _ error = List(nil)

// Error returns the errors, one per line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, fieldErr := range l {
		lines = append(lines, fieldErr.Error())
	}
	return strings.Join(lines, "\n")
}

// Addf appends an error in a field; format and args form its Problem.
func (l *List) Addf(field, format string, args ...any) {
	*l = append(*l, FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}
