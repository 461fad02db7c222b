package catalog

import (
	"cmp"
	"fmt"
	"slices"
)

// Effect says what a mistake keeps out of the catalog.
type Effect uint8

// The effects of a mistake.
const (
	// RejectsFile means that the file is wrong in itself: nothing of this
	// content is in force.
	RejectsFile Effect = iota
	// RejectsItem means that the named item clashes with another file or refers
	// to something unknown. Only this item has no effect.
	RejectsItem
)

var effectNames = [...]string{"holds_file", "holds_item"}

// String returns the stable name that JSON carries.
func (e Effect) String() string {
	if int(e) < len(effectNames) {
		return effectNames[e]
	}
	return fmt.Sprintf("effect(%d)", uint8(e))
}

// MarshalText returns the stable name.
func (e Effect) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// Problem is one mistake in the configuration.
type Problem struct {
	// File is the name of the file that has to be changed. It is empty when the
	// mistake concerns the whole folder.
	File string `json:"file,omitempty"`
	// Field is the path within the file, such as "customers.acme.rate". It is
	// empty when the mistake concerns the whole file.
	Field string `json:"field,omitempty"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
	// Effect says what the mistake keeps out of the catalog.
	Effect Effect `json:"effect"`
}

// Error returns the problem as one line.
func (p Problem) Error() string {
	switch {
	case p.File == "":
		return p.Message
	case p.Field == "":
		return fmt.Sprintf("%s: %s", p.File, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.File, p.Field, p.Message)
}

// sortProblems orders problems by file, keeping the order within a file.
func sortProblems(ps []Problem) {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Compare(a.File, b.File)
	})
}
