package catalog

import (
	"cmp"
	"fmt"
	"slices"
)

// Effect is the part of the configuration that is rejected because of a problem.
type Effect uint8

// The effects of a problem.
const (
	// RejectsFile means that this revision of the file is invalid on its own and
	// rejected as a whole.
	RejectsFile Effect = iota
	// RejectsItem means that the named item conflicts with another file or refers
	// to an unknown object. Only this item is rejected.
	RejectsItem
)

var effectNames = [...]string{"holds_file", "holds_item"}

// String returns the stable name used in JSON.
func (e Effect) String() string {
	if int(e) < len(effectNames) {
		return effectNames[e]
	}
	return fmt.Sprintf("effect(%d)", uint8(e))
}

// MarshalText returns the stable name.
func (e Effect) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// Problem is one error in the configuration.
type Problem struct {
	// File is the name of the file that has to be corrected. It is empty if the
	// problem concerns the whole folder.
	File string `json:"file,omitempty"`
	// Field is the path within the file, such as "customers.acme.rate". It is
	// empty if the problem concerns the whole file.
	Field string `json:"field,omitempty"`
	// Message describes the error and what is allowed.
	Message string `json:"message"`
	// Effect is the part of the configuration that is rejected.
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

// sortProblems sorts problems by file and preserves the order within a file.
func sortProblems(ps []Problem) {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Compare(a.File, b.File)
	})
}
